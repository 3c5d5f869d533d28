/** Command `log --port N` of the stand-ins. */
import * as util from 'node:util';

import * as logStandIn from './log_stand_in.js';

/** Runs the log service until SIGTERM; prints `{"listening": PORT}` once it listens. */
export async function main(args: readonly string[]): Promise<void> {
  const {values} = util.parseArgs({
    args: [...args],
    options: {port: {type: 'string'}},
  });
  await using log = new logStandIn.LogStandIn();
  const port = await log.listen(Number(values.port ?? 0));
  console.log(JSON.stringify({listening: port}));
  await new Promise(resolve => process.once('SIGTERM', resolve));
}
