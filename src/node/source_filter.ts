/** Filters traffic by its source address. */

const IPV4_MAPPED_PREFIX = '::ffff:';

/** Returns whether traffic from an address is accepted. */
export type SourceFilter = (address: string | undefined) => boolean;

/** Returns a filter that accepts only `addresses`; IPv4-mapped IPv6 addresses match as IPv4. */
export function createSourceFilter(addresses: readonly string[]): SourceFilter {
  const accepted = new Set(addresses);
  return address => address !== undefined && accepted.has(unmapIpv4(address));
}

/** Converts an IPv4-mapped IPv6 address (RFC 4291, section 2.5.5.2) to IPv4. */
function unmapIpv4(address: string): string {
  return address.startsWith(IPV4_MAPPED_PREFIX)
    ? address.slice(IPV4_MAPPED_PREFIX.length)
    : address;
}
