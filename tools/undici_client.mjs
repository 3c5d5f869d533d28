/**
 * What the daemon uses of undici. Its index loads all of the library, which is 55 ms of processor
 * time at each start.
 */
import request from 'undici/lib/api/api-request.js';
import buildConnector from 'undici/lib/core/connect.js';
import errors from 'undici/lib/core/errors.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

// The index of undici adds the requests to the dispatchers in the same way.
Dispatcher.prototype.request = request;

export {Client, Pool, buildConnector, errors};
