/**
 * Exports the parts of undici that the daemon uses. The index of undici loads the whole library,
 * which takes 55 ms of CPU time at each start.
 */
import request from 'undici/lib/api/api-request.js';
import buildConnector from 'undici/lib/core/connect.js';
import errors from 'undici/lib/core/errors.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

// Same as in the index of undici, which adds the API methods to the dispatcher prototype.
Dispatcher.prototype.request = request;

export {Client, Pool, buildConnector, errors};
