/**
 * A daemon is stopped while a client has several idempotent requests under way on one connection. Each one that was passed on to an upstream
 * has to be answered.
 */

import { Client } from '../lib/client.mjs';
import { pause } from '../lib/deployment.mjs';
import { kTrouble, runCase } from '../lib/verdict.mjs';

await runCase(import.meta.url, async (deployment) => {
  deployment.configure([{ prefix: '/r/', service: 'reads', kind: 'idempotent' }]);
  const { near } = await deployment.startPair();
  const client = new Client('client', near.calls, deployment.record);
  await client.connected;
  if (kTrouble) {
    deployment.signal(near, 'SIGTERM');
  }
  await pause(200);
  client.send({ id: 'read-1', path: '/r/1500/10' });
  await pause(50);
  client.send({ id: 'read-2', path: '/r/20/10' });
  await pause(350);
  client.send({ id: 'read-3', path: '/r/1500/10' });
  await deployment.until(() => client.open.length === 0 || client.closed);
  await pause(1_000);
  const lost = client.open.filter((id) => deployment.run.has(id));
  client.close();
  return lost.map((id) => `LOST: ${id} was passed on to an upstream, and its connection ended without an answer`);
});
