/** Origins of HTTP servers that are known by IP address. */

/** Returns `http://ip:port`, with the brackets that an IPv6 address needs (RFC 3986). */
export function httpOrigin(ip: string, port: number): string {
  const host = ip.includes(':') ? `[${ip}]` : ip;
  return `http://${host}:${port}`;
}
