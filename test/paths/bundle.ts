/** The bundled daemon as tests and measurements start it. */

/** Path of the bundle, relative to the build directory. */
export const BUNDLE = '../target/geraniumloft-node.cjs';

/** Arguments for Node.js, as in the platform's deployment. */
export const NODE_ARGS: readonly string[] = ['--max-old-space-size=160'];
