/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a daemon that believes an unreadable, foreign or outdated statement of a target's load, or acts on any when it is off. */

import { HeaderReader, parseStatedLoad } from '@gentiandrum/mesh';
import { platformDialect } from '@gentiandrum/platform';
import { request } from 'undici';
import { type ResponseMode, UpstreamStandin } from '../platform/upstreamStandin.js';
import { describe, it, itSerial } from '../support/describe.js';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';

describe('the header for the load of a target', () => {
  it('should be read with three or four figures and spaces', (t) => {
    const load = { running: 3, waiting: 0, slots: 76, slowness: 180 };
    t.deepEqual(parseStatedLoad('3,0,76,180'), { kind: 'valid', load });
    t.deepEqual(parseStatedLoad(' 3 , 0,\t76 ,180 '), { kind: 'valid', load });
    t.deepEqual(parseStatedLoad('3,0,76'), { kind: 'valid', load: { ...load, slowness: undefined } });
    t.is(parseStatedLoad('1000000,0,76,1000000').kind, 'valid');
  });

  for (const text of [
    '',
    '1',
    '1,2',
    '1,2,3,',
    '1,,3,4',
    '1,2,3,4,5',
    '1,2,3,-4',
    '1,2,3,1000001',
    '1,2,3,0',
    '1,2,3,1e3',
    '1,2,3,4.5',
    'x',
  ]) {
    it(`should be invalid: "${text}"`, (t) => {
      t.is(parseStatedLoad(text).kind, 'invalid');
    });
  }

  it('should be read from its first occurrence, and forwarded unchanged', (t) => {
    const reader = new HeaderReader(platformDialect.headers);
    const raw = ['X-Server-Load', '1,2,3,400', 'x-server-load', '1,2,3,999'];
    const { load, forwarded } = reader.readResponse(raw, 200);
    t.is(load, '1,2,3,400');
    t.deepEqual(forwarded, raw);
    t.is(reader.readResponse(['x-other', '1'], 200).load, undefined);
  });
});

/** Runs a test with one host whose target states a load. */
async function withTarget(statedLoad: boolean, body: (fleet: MeshFleet, host: FleetHost) => Promise<void>): Promise<void> {
  await withFleet(async (fleet) => {
    fleet.configure([{ prefix: '/s/', service: 's', maxAttempts: 1 }]);
    const host = await fleet.add('h1', 's', { settings: { load: { statedLoad } } });
    await fleet.untilServing('/s/first');
    await body(fleet, host);
  });
}

/** Calls the target, which states the values; returns the metrics of the load afterwards. */
async function callWith(fleet: MeshFleet, host: FleetHost, ...values: string[]): Promise<Map<string, number>> {
  for (const value of values) {
    host.target.extraHeaders = { 'x-server-load': value };
    await fleet.call(host, '/s/x');
  }
  return metricsOf(host);
}

async function metricsOf(host: FleetHost): Promise<Map<string, number>> {
  const text = await (await request(`http://${host.metrics}/metrics`)).body.text();
  const lines = text.matchAll(/^gentiandrum_state\{name="(gate_slowness|gate_slowness_age_seconds|load_statements\w*)".*\} (\S+)$/gm);
  return new Map([...lines].map(([, name = '', value]) => [name, Number(value)]));
}

describe('the load that a target states', () => {
  itSerial('should be counted and forwarded, and its invalid values ignored', async (t) => {
    await withTarget(true, async (fleet, host) => {
      const values = await callWith(fleet, host, '1,0,20,400', '1,0,20', '1,0,20,-5', 'wild');
      t.deepEqual([values.get('load_statements'), values.get('load_statements_invalid')], [4, 2]);
      t.true((values.get('gate_slowness') ?? 0) > 100 && (values.get('gate_slowness_age_seconds') ?? -1) >= 0);
      t.is((await fleet.call(host, '/s/x')).headers['x-server-load'], 'wild');
    });
  });

  for (const mode of ['foreign_id', 'unsealed'] satisfies ResponseMode[]) {
    itSerial(`should be ignored when the response may be from elsewhere: ${mode}`, async (t) => {
      await withTarget(true, async (fleet, host) => {
        host.target.mode = mode;
        t.deepEqual(
          [...(await callWith(fleet, host, '1,0,20,400'))],
          [
            ['load_statements', 0],
            ['load_statements_invalid', 0],
          ],
        );
      });
    });
  }

  itSerial('should be forgotten when another incarnation starts while a request to the earlier one runs', async (t) => {
    await withTarget(true, async (fleet, host) => {
      t.true((await callWith(fleet, host, '1,0,20,400')).has('gate_slowness'));
      let release: () => void = () => undefined;
      host.target.onRun = () => new Promise((resolve) => (release = resolve));
      const early = fleet.call(host, '/s/early');
      await fleet.until('the early request to run', () => host.target.running === 1);
      const next = new UpstreamStandin('i-next', 's');
      next.address = host.target.address;
      await next.sendHeartbeat(host.control);
      release();
      await early;
      const values = await metricsOf(host);
      t.deepEqual([values.has('gate_slowness'), values.get('load_statements')], [false, 1]);
    });
  });

  itSerial('should change nothing when it is off', async (t) => {
    await withTarget(false, async (fleet, host) => {
      t.is((await callWith(fleet, host, '1,0,20,400', 'wild')).size, 0);
      t.is((await fleet.call(host, '/s/x')).headers['x-server-load'], 'wild');
    });
  });
});
