import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as errors from '../common/errors.js';
import * as portOpening from './port_opening.js';
import * as tcpListener from './tcp_listener.js';

const {test} = nodeTest;

const IP = '127.0.0.1';
const HELD_MS = 300;

/** Longest time for what needs no wait. */
const PROMPT_MS = 2_000;

/** A port that another socket holds until it is closed. */
async function holdPort(): Promise<[net.Server, number]> {
  const holder = net.createServer();
  await new Promise<void>(resolve => holder.listen(0, IP, resolve));
  holder.unref();
  return [holder, (holder.address() as net.AddressInfo).port];
}

function close(server: net.Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}

/** Collects what an observer is told. */
function recorder(): [string[], portOpening.PortObserver] {
  const seen: string[] = [];
  const observer: portOpening.PortObserver = {
    onWaiting: (unusedAddress, code) => seen.push(`waiting ${code}`),
    onOpened: () => seen.push('opened'),
    onError: (unusedAddress, code) => seen.push(`error ${code}`),
  };
  return [seen, observer];
}

// A port that was taken for less than a second ended the start.
test('a port that is taken for a while is waited for, and reported once', async () => {
  const [holder, port] = await holdPort();
  const server = net.createServer();
  const [seen, observer] = recorder();
  const listening = tcpListener.listen(server, {ip: IP, port, observer});
  await Promise.race([listening, timers.setTimeout(HELD_MS)]);
  await close(holder);
  await listening;
  assert.equal((server.address() as net.AddressInfo).port, port);
  assert.deepEqual(seen, ['waiting EADDRINUSE', 'opened']);
  await close(server);
});

test('a port that stays taken is given up with its name and address', async () => {
  const [holder, port] = await holdPort();
  const listening = tcpListener.listen(net.createServer(), {
    ip: IP,
    port,
    portName: 'peers',
    openTimeoutMs: HELD_MS,
  });
  await assert.rejects(listening, (err: errors.GeraniumloftError) => {
    assert.equal(err.step, 'listen for peers');
    assert.equal(err.peer, `${IP}:${port}`);
    assert.match(err.message, /EADDRINUSE/);
    return true;
  });
  await close(holder);
});

test('an error that does not pass is not waited for', async () => {
  const [seen, observer] = recorder();
  const startMs = performance.now();
  const address = {ip: IP, port: 70_000, observer};
  await assert.rejects(
    tcpListener.listen(net.createServer(), address),
    errors.GeraniumloftError,
  );
  assert.ok(performance.now() - startMs < PROMPT_MS);
  assert.deepEqual(seen, []);
});

test('closing a server ends its wait for a port, which it does not take later', async () => {
  const [holder, port] = await holdPort();
  const server = net.createServer();
  const startMs = performance.now();
  const listening = tcpListener.listen(server, {ip: IP, port});
  const rejected = assert.rejects(listening, /closed/);
  await Promise.race([rejected, timers.setTimeout(HELD_MS)]);
  await close(server);
  await rejected;
  assert.ok(performance.now() - startMs < PROMPT_MS);
  await close(holder);
  await timers.setTimeout(HELD_MS);
  assert.equal(server.listening, false);
});

test('a server that is closed while it begins to listen does not listen', async () => {
  const server = net.createServer();
  const listening = tcpListener.listen(server, {ip: IP, port: 0});
  const rejected = assert.rejects(listening, /closed/);
  server.close();
  await rejected;
  assert.equal(server.listening, false);
});

// An error of accept, as without free descriptors, ended the process.
for (const protocol of ['TCP', 'HTTP']) {
  test(`errors of an open port are reported, and it stays open: ${protocol}`, async () => {
    const server =
      protocol === 'TCP' ? net.createServer() : http.createServer();
    const [seen, observer] = recorder();
    await tcpListener.listen(server, {ip: IP, port: 0, observer});
    for (const code of ['EMFILE', 'EPROTO']) {
      server.emit('error', Object.assign(new Error('accept'), {code}));
    }
    assert.deepEqual(seen, ['error EMFILE', 'error EPROTO']);
    assert.ok(server.listening);
    await close(server);
  });
}

test('an error of an open port that nobody observes is ignored', async () => {
  const server = net.createServer();
  await tcpListener.listen(server, {ip: IP, port: 0});
  server.emit('error', new Error('accept'));
  assert.ok(server.listening);
  await close(server);
});
