/** Replaces node:crypto, whose loading takes 12 ms: it is loaded when a key is first read. */
module.exports = {
  createHash: algorithm => require('crypto').createHash(algorithm),
};
