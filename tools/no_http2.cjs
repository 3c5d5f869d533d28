/** Replaces undici's HTTP/2 client, which the daemon does not use and which loads node:http2. */
module.exports = () => {
  throw new Error('HTTP/2 is not built in');
};
