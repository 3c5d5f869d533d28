/** Pass-through HTTP proxy: the baseline cost of one hop through the HTTP stack of Node.js. */
import * as http from 'node:http';
import * as util from 'node:util';

import * as undici from 'undici';

const {values} = util.parseArgs({
  options: {
    port: {type: 'string', default: '0'},
    target: {type: 'string', default: '0'},
  },
});

const pool = new undici.Pool(`http://127.0.0.1:${values.target}`, {
  connections: 32,
  pipelining: 1,
});

async function relay(
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const backendRes = await pool.request({
    method: req.method as undici.Dispatcher.HttpMethod,
    path: req.url ?? '/',
    headers: {
      'geraniumloft-request-id': req.headers['geraniumloft-request-id'],
    },
    body: chunks.length === 0 ? null : Buffer.concat(chunks),
  });
  const body = Buffer.from(await backendRes.body.arrayBuffer());
  res.writeHead(backendRes.statusCode, {
    'Content-Length': body.length,
    'X-Served-Us': backendRes.headers['x-served-us'] ?? '',
  });
  res.end(body);
}

const server = http.createServer((req, res) => void relay(req, res));
server.listen(Number(values.port), '127.0.0.1', () => console.log('listening'));
