/** Command line of the stand-ins: `main.js log|server …`. */
import * as logMain from './log/main.js';
import * as serverMain from './server/main.js';

const [kind, ...args] = process.argv.slice(2);

switch (kind) {
  case 'log':
    await logMain.main(args);
    break;
  case 'server':
    await serverMain.main(args);
    break;
  default:
    console.error('usage: stand-in log|server …');
    process.exitCode = 2;
}
