/** Runs a case, and turns its result into the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */

import { fileURLToPath } from 'node:url';
import { Deployment } from './deployment.mjs';

/** Whether the case plays its disruption. */
export const kTrouble = process.env.TROUBLE !== '0';

/** Runs `play`, which returns what broke the rule, one text each; it throws if the case could not run. */
export async function runCase(moduleUrl, play) {
  const deployment = new Deployment(fileURLToPath(new URL('record.txt', moduleUrl)));
  let code = 2;
  try {
    await deployment.start();
    const breaches = await play(deployment);
    code = breaches.length > 0 ? 1 : 0;
    deployment.record('verdict', { trouble: kTrouble, breaches, code });
  } catch (err) {
    deployment.record('could not run', { err: String(err) });
  } finally {
    await deployment.close();
  }
  process.exit(code);
}
