/** Command `server --port N --node IP:PORT --mode JSON` of the stand-ins. */
import * as util from 'node:util';

import * as serverMode from './server_mode.js';
import * as serverStandIn from './server_stand_in.js';

/** Runs the backend server until SIGTERM; prints `{"listening": PORT}` once it listens. */
export async function main(args: readonly string[]): Promise<void> {
  const {values} = util.parseArgs({
    args: [...args],
    options: {
      port: {type: 'string', default: '0'},
      node: {type: 'string'},
      mode: {type: 'string', default: '{}'},
    },
  });
  const change = JSON.parse(values.mode) as Partial<serverMode.ServerMode>;
  await using server = new serverStandIn.ServerStandIn({
    ...serverMode.DEFAULT_MODE,
    ...change,
  });
  const port = await server.listen(Number(values.port));
  if (values.node !== undefined) {
    const [ip, nodePort] = values.node.split(':');
    server.announceTo(ip, Number(nodePort));
  }
  console.log(JSON.stringify({listening: port}));
  await new Promise(resolve => process.once('SIGTERM', resolve));
}
