/**
 * Stand-in for a sound upstream: runs each request for as long as its path says, seals its answers, sends heartbeats, and answers 421 to a
 * request for another instance. A path is `/ROUTE/WORK_MS/ANSWER_BYTES`.
 */

import { createServer, request } from 'node:http';

const kHeartbeatMs = 1_500;

export class Upstream {
  address = '';
  _sequence = 0;
  _server;

  /** @param record writes a line of the record */
  constructor({ instance, service, zone, slots = 50 }, record) {
    Object.assign(this, { instance, service, zone, slots });
    this._record = record;
    this._server = createServer({ keepAliveTimeout: 10_000 }, (req, res) => {
      req.resume().on('end', () => this._run(req, res));
    });
  }

  async start() {
    await new Promise((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this._server.address().port}`;
  }

  /** Sends heartbeats to the daemon of its machine until it is closed. */
  beat(control) {
    const send = () => {
      const req = request(`http://${control}/v1/instances/${this.instance}`, {
        method: 'PUT',
        headers: { 'content-type': 'application/json' },
        timeout: 1_000,
      });
      req.on('error', () => undefined);
      req.on('response', (res) => res.resume());
      req.end(
        JSON.stringify({
          address: this.address,
          info: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
          status: { state: 'ready', sequence: ++this._sequence, cold_remaining_ms: 0 },
        }),
      );
    };
    send();
    this._timer = setInterval(send, kHeartbeatMs);
  }

  close() {
    clearInterval(this._timer);
    this._server.close();
    this._server.closeAllConnections();
  }

  _run(req, res) {
    const id = req.headers['x-attempt-id'] ?? '';
    if (req.headers['x-target-instance'] !== this.instance) {
      res.writeHead(421, { 'x-attempt-id': id, 'x-instance-id': this.instance, 'x-not-executed': '1', 'content-length': 0 }).end();
      return;
    }
    const [, , workMs, bytes] = req.url.split('/').map(Number);
    this._record('run', { id, at: this.instance, remainingMs: Number(req.headers['x-deadline-remaining']) });
    const timer = setTimeout(() => {
      const body = Buffer.alloc(bytes, 'x');
      this._record('ran', { id, at: this.instance });
      res.writeHead(200, { 'x-attempt-id': id, 'x-response-seal': `seal.${id}`, 'content-length': body.length }).end(body);
    }, workMs);
    // An upstream drops a request when its connection closes.
    res.on('close', () => {
      if (!res.writableFinished) {
        clearTimeout(timer);
        this._record('dropped', { id, at: this.instance });
      }
    });
  }
}
