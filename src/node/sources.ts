/** Accepts traffic only from configured addresses. */

const IPV4_MAPPED_PREFIX = '::ffff:';

/** Tells whether traffic from an address is accepted. */
export type SourceFilter = (address: string | undefined) => boolean;

/** Returns a predicate that tells whether an address is one of `addresses`. */
export function sourceFilter(addresses: readonly string[]): SourceFilter {
  const accepted = new Set(addresses);
  return address =>
    address !== undefined && accepted.has(withoutMapping(address));
}

/** Writes an IPv4-mapped IPv6 address (RFC 4291, section 2.5.5.2) as IPv4. */
function withoutMapping(address: string): string {
  return address.startsWith(IPV4_MAPPED_PREFIX)
    ? address.slice(IPV4_MAPPED_PREFIX.length)
    : address;
}
