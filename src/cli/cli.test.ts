import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as url from 'node:url';

import * as logStandIn from '../../test/stand_ins/log/log_stand_in.js';
import * as peer from '../generated/peer.js';
import * as exitCodes from './exit_codes.js';

const MAIN = url.fileURLToPath(new URL('./main.js', import.meta.url));
const TIMEOUT_MS = '1500';

interface CommandResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

function run(args: readonly string[]): Promise<CommandResult> {
  return new Promise(resolve => {
    const child = childProcess.spawn(process.execPath, [MAIN, ...args]);
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', text => (stdout += String(text)));
    child.stderr.on('data', text => (stderr += String(text)));
    child.on('close', code => resolve({code, stdout, stderr}));
  });
}

function configurationText(exceptions = '[]'): string {
  return `{
  // Caroni.
  "defaults": {},
  "classes": [{"name": "price", "kind": "interactive", "deadlineMs": 500, "idempotent": true}],
  "services": [{"name": "catalogue", "routes": [
    {"method": "GET", "pathPrefix": "/catalogue", "class": "price"}]}],
  "exceptions": ${exceptions}
}`;
}

function joinRecord(nodeId: string, dataCentre: string): Uint8Array {
  const member = peer.Member.fromPartial({
    nodeId,
    dataCentre,
    service: 'catalogue',
    incarnation: 1,
  });
  const value = peer.RosterRecord.fromPartial({
    event: peer.RosterEvent.JOIN,
    member,
    authorNodeId: nodeId,
  });
  const body = {$case: 'roster' as const, value};
  return peer.LogRecord.encode({recordId: nodeId, timeMs: 1, body}).finish();
}

class Fixture implements AsyncDisposable {
  readonly log = new logStandIn.LogStandIn();
  readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), 'geraniumloft-'));
  port = 0;

  static async start(): Promise<Fixture> {
    const fixture = new Fixture();
    fixture.port = await fixture.log.listen(0);
    return fixture;
  }

  file(text: string): string {
    const name = path.join(this.directory, 'configuration.jsonc');
    fs.writeFileSync(name, text);
    return name;
  }

  run(...args: readonly string[]): Promise<CommandResult> {
    return run([
      ...args,
      '--log',
      `127.0.0.1:${this.port}`,
      '--timeout-ms',
      TIMEOUT_MS,
    ]);
  }

  publish(...extra: readonly string[]): Promise<CommandResult> {
    const file = this.file(configurationText());
    return this.run('config', 'publish', file, '--reason', 'first', ...extra);
  }

  append(record: Uint8Array): Promise<Response> {
    return fetch(`http://127.0.0.1:${this.port}/append`, {
      method: 'POST',
      body: record,
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    fs.rmSync(this.directory, {recursive: true});
    await this.log[Symbol.asyncDispose]();
  }
}

nodeTest.test('a published configuration is read back', async () => {
  await using fixture = await Fixture.start();
  const published = await fixture.publish();
  assert.equal(published.code, exitCodes.EXIT_CODES.done, published.stderr);
  assert.match(published.stdout, /^accepted as revision 1/);
  const shown = await fixture.run('config', 'show', '--json');
  assert.equal(
    (JSON.parse(shown.stdout) as {readonly revision: number}).revision,
    1,
  );
});

nodeTest.test(
  'of two changes on one base revision the second is rejected by the first',
  async () => {
    await using fixture = await Fixture.start();
    const first = await fixture.publish('--base-revision', '0', '--json');
    const second = await fixture.publish('--base-revision', '0');
    const {changeId} = JSON.parse(first.stdout) as {readonly changeId: string};
    assert.equal(second.code, exitCodes.EXIT_CODES.rejected);
    assert.ok(
      second.stdout.includes(`change ${changeId} came first`),
      second.stdout,
    );
  },
);

nodeTest.test(
  'a lost append answer is settled by reading the log',
  async () => {
    await using fixture = await Fixture.start();
    fixture.log.setMode({loseAppendAnswers: 1});
    const published = await fixture.publish();
    assert.equal(published.code, exitCodes.EXIT_CODES.done, published.stderr);
    const history = await fixture.run('config', 'history', '--json');
    assert.equal((JSON.parse(history.stdout) as readonly unknown[]).length, 1);
  },
);

nodeTest.test(
  'a log outage changes nothing and is reported with the address',
  async () => {
    await using fixture = await Fixture.start();
    fixture.log.setMode({outage: true});
    const published = await fixture.publish();
    assert.equal(published.code, exitCodes.EXIT_CODES.unreachable);
    assert.match(
      published.stderr,
      /^read log \(http:\/\/127\.0\.0\.1:\d+\): status 503/,
    );
  },
);

nodeTest.test(
  'a dropped append is reported as unknown and can be settled',
  async () => {
    await using fixture = await Fixture.start();
    fixture.log.setMode({dropAppends: 1});
    const published = await fixture.publish('--json');
    assert.equal(published.code, exitCodes.EXIT_CODES.unknown);
    const {changeId} = JSON.parse(published.stdout) as {
      readonly changeId: string;
    };
    const settled = await fixture.run('config', 'settle', changeId);
    assert.equal(settled.code, exitCodes.EXIT_CODES.unknown);
    assert.match(settled.stdout, /the change is not in the log/);
  },
);

nodeTest.test(
  'a data centre is taken out and returned, each with a reason',
  async () => {
    await using fixture = await Fixture.start();
    await fixture.append(joinRecord('c-1', 'couva'));
    await fixture.append(joinRecord('c-2', 'freeport'));
    await fixture.publish();
    const out = await fixture.run(
      'data-centre',
      'out',
      'couva',
      '--reason',
      'power work',
    );
    assert.equal(out.code, exitCodes.EXIT_CODES.done, out.stderr);
    const listed = await fixture.run('data-centre', 'list');
    assert.match(listed.stdout, /^couva 1 servers out: power work/m);
    const last = await fixture.run(
      'data-centre',
      'out',
      'freeport',
      '--reason',
      'more',
    );
    assert.equal(last.code, exitCodes.EXIT_CODES.invalid);
    assert.match(
      last.stderr,
      /service catalogue would have no data centre left/,
    );
    const returned = await fixture.run(
      'data-centre',
      'return',
      'couva',
      '--reason',
      'done',
    );
    assert.equal(returned.code, exitCodes.EXIT_CODES.done, returned.stderr);
  },
);

nodeTest.test(
  'invalid input is reported on one line with exit code 2',
  async () => {
    await using fixture = await Fixture.start();
    await fixture.publish();
    const unknown = await fixture.run(
      'data-centre',
      'out',
      'nowhere',
      '--reason',
      'x',
    );
    assert.equal(unknown.code, exitCodes.EXIT_CODES.invalid);
    assert.equal(
      unknown.stderr,
      'exception data-centre-out.nowhere: unknown data centre nowhere; known: none\n',
    );
    const file = fixture.file(
      configurationText().replace('"interactive"', '"fast"'),
    );
    const checked = await run(['config', 'check', file]);
    assert.equal(checked.code, exitCodes.EXIT_CODES.invalid);
    assert.match(
      checked.stderr,
      /jsonc:4:33: classes\.0\.kind: expected one of interactive/,
    );
    const withoutReason = await fixture.run('data-centre', 'out', 'couva');
    assert.equal(withoutReason.code, exitCodes.EXIT_CODES.invalid);
  },
);
