/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { describe, itSerial } from '../support/describe.js';
import { withFleet } from './meshFleet.js';

describe('metrics of a routing daemon', () => {
  itSerial('should count requests by service, outcome and reason, and expose the state of the daemon', (t) =>
    withFleet(async (fleet) => {
      const version = fleet.configure([
        { prefix: '/a/', service: 'reads' },
        { prefix: '/b/', service: 'absent' },
      ]);
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/a/warm');
      await fleet.call(host, '/a/x');
      await fleet.call(host, '/b/x');
      await fleet.call(host, '/c/x');
      const text = await fleet.metrics(host);
      t.regex(text, /gentiandrum_requests_total\{service="reads",outcome="answered",reason="none",zone="z1"\} \d+/);
      t.regex(text, /gentiandrum_requests_total\{service="absent",outcome="not_run",reason="no_target",zone="z1"\} 1/);
      t.regex(text, /gentiandrum_requests_total\{service="none",outcome="no_route",reason="none",zone="z1"\} 1/);
      t.regex(text, /gentiandrum_request_seconds_count\{service="reads",outcome="answered",reason="none",zone="z1"\} \d+/);
      t.regex(text, /gentiandrum_request_seconds_bucket\{service="reads",outcome="answered",reason="none",le="10",zone="z1"\} \d+/);
      t.true(text.includes(`gentiandrum_state{name="config_version",zone="z1"} ${version}`));
      t.true(text.includes('gentiandrum_state{name="hosts_ready",zone="z1"} 1'));
      t.true(text.includes('gentiandrum_state{name="gate_limit",zone="z1"} 19'));
    }),
  );
});
