/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Prometheus metrics of a routing daemon. The number of label values is bounded for any input of callers. */

import type { GateRefusal, MemoryPlace, RankedRepeatCounts } from '@gentiandrum/core';
import { Counter, Gauge, type Metric, Registry } from 'prom-client';
import type { UnsolicitedData } from '../client/targetExchange.js';
import type { TargetLoadState } from './load/targetLoadTracker.js';
import type { QuotaCounts } from './workspaces/quotaService.js';
import { kLatencyBounds, LatencyMetric, type RequestTotals, type RequestOutcome } from './latencyMetric.js';

/** Maximum number of workspaces with their own label value. */
const kMaxWorkspaces = 100;

/** Location of a call's target relative to its ingress. */
export type TargetLocality = 'own_host' | 'own_zone' | 'other_zone';

/** Calls by what is known about their chains, and calls and requests refused because their chains cannot end in time. */
export interface ChainCounts {
  known: number;
  unknown: number;
  ended: number;
  tooLateAtGate: number;
  tooLateAtEntry: number;
}

/** Values that are read for each metrics request. */
export interface MetricsView {
  gate: {
    inFlight: number;
    queued: number;
    limit: number;
    level: number;
    meanMs: number;
    /** Rate limit that the target states, in requests per second, and the requests that may be sent now; undefined without a limit. */
    rateLimit: number | undefined;
    rateTokens: number | undefined;
    /** Load that the target states; undefined if it is not used. */
    targetLoad: TargetLoadState | undefined;
    /** Capacity of the target's service in slots, and the factor of its last change; undefined when the level does not follow it. */
    room?: { capacity: number; change: number } | undefined;
    /** Repeats admitted and refused by urgency; undefined when they are not ranked. */
    repeats?: RankedRepeatCounts | undefined;
  };
  /** Bytes of bodies held, by place, and number of bodies that wait for memory. */
  memory: { held: Record<MemoryPlace, number>; waiting: number };
  /** Number of hosts by the state of their target. */
  hosts: ReadonlyMap<string, number>;
  links: number;
  configVersion: number;
  /** Time since the configuration in force was applied, in seconds. */
  configAge: number;
  /** Number of requests in flight at this ingress. */
  inFlight: number;
  /** Number of calls to the platform's log, by kind. */
  logCalls: ReadonlyMap<string, number>;
  /** Whether this daemon follows the log for its zone. */
  readsLog: boolean;
  /** Number of log lines omitted since the start. */
  omittedLines: number;
  /** Age of the freshness proof of the configuration, in seconds; -1 without one. */
  proofAge: number;
  /** Number of suspensions of the host since the start. */
  suspensions: number;
  /** Number of suspected request fingerprints, and how many of them are quarantined. */
  suspects: { suspected: number; held: number };
  chainCounts: ChainCounts;
  /** Number of quota buckets of this daemon, and token counts since the start. */
  quotas: QuotaCounts & { buckets: number };
}

/** Metrics of one daemon. */
export class MeshMetrics {
  private readonly _registry = new Registry();
  private readonly _requests = this._counter('requests_total', 'Requests that ended at this ingress', ['service', 'outcome', 'reason']);
  private readonly _refusals = this._counter('gate_refusals_total', 'Calls that the gate of this host refused', ['reason']);
  private readonly _placements = this._counter('placements_total', 'Offers of calls by where the target stands', [
    'service',
    'place',
    'after_refusal',
  ]);
  private readonly _repeats = this._counter('gate_repeats_total', 'Repeats that the gate of this host let in', []);
  private readonly _crashes = this._counter('target_crashes_total', 'Ends of this host’s target while requests ran on it', []);
  private readonly _unsolicited = this._counter('unsolicited_data_total', 'Data of the target that is not a response to the request', [
    'kind',
  ]);
  private readonly _fairShareSheds = this._counter('fair_share_shed_total', 'Requests that fair shares shed at this ingress', [
    'over_share',
  ]);
  private readonly _unanswered = this._counter('unanswered_requests_total', 'Requests whose connection closed before their response', [
    'closed_by',
  ]);
  private readonly _memoryRefusals = this._counter('memory_refusals_total', 'Bodies that were refused for lack of memory', ['place']);
  /** Totals by label values; copied to the counters on each read, because the library hashes the labels on every increment. */
  private readonly _requestTotals = new Map<string, RequestTotals>();
  private readonly _placementTotals = new Map<string, PlacementTotals>();
  private readonly _workspaces = new Map<string, Map<RequestOutcome, number>>();
  private readonly _workspaceRequests = this._counter('workspace_requests_total', 'Requests of a workspace that ended at this ingress', [
    'workspace',
    'outcome',
  ]);
  private readonly _gauge = new Gauge({
    name: 'gentiandrum_state',
    help: 'State of the daemon, by name: see docs/OPERATIONS.md',
    labelNames: ['name'],
    registers: [this._registry],
  });

  constructor(
    zone: string,
    private readonly _view: () => MetricsView,
  ) {
    this._registry.setDefaultLabels({ zone });
    this._registry.registerMetric(new LatencyMetric(this._requestTotals) as unknown as Metric);
  }

  /** Counts a completed request; `reason` must come from a fixed set of values. */
  requestEnded(service: string, outcome: RequestOutcome, reason: string, seconds: number): void {
    const key = `${service} ${outcome} ${reason}`;
    let totals = this._requestTotals.get(key);
    if (!totals) {
      totals = { service, outcome, reason, count: 0, seconds: 0, buckets: kLatencyBounds.map(() => 0) };
      this._requestTotals.set(key, totals);
    }
    totals.count++;
    totals.seconds += seconds;
    const bucket = kLatencyBounds.findIndex((bound) => seconds <= bound);
    if (bucket >= 0) {
      totals.buckets[bucket] = (totals.buckets[bucket] ?? 0) + 1;
    }
  }

  /** Counts a completed request of a workspace; workspaces beyond the maximum share the label `other`. */
  workspaceEnded(workspace: string, outcome: RequestOutcome): void {
    const known = this._workspaces.has(workspace) || this._workspaces.size < kMaxWorkspaces;
    const name = known ? workspace : 'other';
    const outcomes = this._workspaces.get(name) ?? new Map<RequestOutcome, number>();
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    this._workspaces.set(name, outcomes);
  }

  /** Counts a call that the gate refused. */
  refused(reason: GateRefusal): void {
    this._refusals.inc({ reason });
  }

  /** Counts a request shed at the entry by fair shares, by whether its workspace sent more than its part of the traffic. */
  fairShareShed(overShare: boolean): void {
    this._fairShareSheds.inc({ over_share: String(overShare) });
  }

  /** Counts a request whose connection was closed before its response was sent, by who closed it. */
  unanswered(closedBy: 'caller' | 'daemon'): void {
    this._unanswered.inc({ closed_by: closedBy });
  }

  /** Counts an offer to a target; `afterRefusal` when an earlier offer of the same request was unsuccessful. */
  placed(service: string, place: TargetLocality, afterRefusal: boolean): void {
    const key = `${service} ${place} ${afterRefusal}`;
    let totals = this._placementTotals.get(key);
    if (!totals) {
      totals = { service, place, afterRefusal, count: 0 };
      this._placementTotals.set(key, totals);
    }
    totals.count++;
  }

  /** Counts a body that was refused for lack of memory. */
  memoryRefused(place: MemoryPlace): void {
    this._memoryRefusals.inc({ place });
  }

  /** Counts a crash of this host's target. */
  targetCrashed(): void {
    this._crashes.inc();
  }

  /** Counts data of this host's target that is not a response to the request. */
  unsolicited(kind: UnsolicitedData): void {
    this._unsolicited.inc({ kind });
  }

  /** Counts a repeat that the gate admitted. */
  repeated(): void {
    this._repeats.inc();
  }

  /** Totals since the start, for the periodic log line. */
  async totals(): Promise<{ requests: Record<string, number>; placements: Record<string, number>; refusals: Record<string, number> }> {
    const refusals = await this._refusals.get();
    return {
      requests: sumBy(this._requestTotals.values(), ({ outcome }) => outcome),
      placements: sumBy(this._placementTotals.values(), ({ place, afterRefusal }) => `${place}${afterRefusal ? ' after a refusal' : ''}`),
      refusals: Object.fromEntries(refusals.values.map(({ labels, value }) => [String(labels.reason), value])),
    };
  }

  /** All metrics in the Prometheus text format. */
  async text(): Promise<string> {
    this._updateCounters();
    const {
      gate,
      hosts,
      links,
      configVersion,
      configAge,
      inFlight,
      omittedLines,
      logCalls,
      readsLog,
      proofAge,
      suspensions,
      suspects,
      quotas,
      chainCounts,
      memory,
    } = this._view();
    const values: [string, number][] = [
      ['gate_in_flight', gate.inFlight],
      ['gate_queued', gate.queued],
      ['gate_limit', gate.limit],
      ['gate_level', gate.level],
      ['gate_mean_ms', gate.meanMs],
      ...(gate.rateLimit === undefined ? [] : [['gate_rate_limit', gate.rateLimit] satisfies [string, number]]),
      ...(gate.rateTokens === undefined ? [] : [['gate_rate_tokens', gate.rateTokens] satisfies [string, number]]),
      ...targetLoadValues(gate.targetLoad),
      ...(gate.room === undefined ? [] : roomValues(gate.room)),
      ...(gate.repeats === undefined ? [] : repeatValues(gate.repeats)),
      ['links', links],
      ['config_version', configVersion],
      ['config_age_seconds', configAge],
      ['requests_in_flight', inFlight],
      ['log_lines_omitted', omittedLines],
      ['reads_log', readsLog ? 1 : 0],
      ['proof_age_seconds', proofAge],
      ['suspensions', suspensions],
      ['kinds_suspected', suspects.suspected],
      ['kinds_held_back', suspects.held],
      ['quota_buckets', quotas.buckets],
      ['quota_tokens_granted', quotas.granted],
      ['quota_tokens_denied', quotas.denied],
      ['quota_tokens_given_back', quotas.returned],
      ['quota_owners_unanswered', quotas.unanswered],
      ['call_parents_known', chainCounts.known],
      ['call_parents_unknown', chainCounts.unknown],
      ['call_parents_ended', chainCounts.ended],
      ['chains_too_late_at_gate', chainCounts.tooLateAtGate],
      ['chains_too_late_at_entry', chainCounts.tooLateAtEntry],
      ...memoryValues(memory),
      ...[...logCalls].map(([kind, count]): [string, number] => [`log_calls_${kind}`, count]),
      ...[...hosts].map(([state, count]): [string, number] => [`hosts_${state}`, count]),
    ];
    this._gauge.reset();
    values.forEach(([name, value]) => {
      this._gauge.set({ name }, value);
    });
    return this._registry.metrics();
  }

  private _updateCounters(): void {
    this._requests.reset();
    this._placements.reset();
    this._workspaceRequests.reset();
    for (const [workspace, outcomes] of this._workspaces) {
      for (const [outcome, count] of outcomes) {
        this._workspaceRequests.inc({ workspace, outcome }, count);
      }
    }
    for (const { service, outcome, reason, count } of this._requestTotals.values()) {
      this._requests.inc({ service, outcome, reason }, count);
    }
    for (const { service, place, afterRefusal, count } of this._placementTotals.values()) {
      this._placements.inc({ service, place, after_refusal: String(afterRefusal) }, count);
    }
  }

  private _counter<T extends string>(name: string, help: string, labelNames: T[]): Counter<T> {
    return new Counter({ name: `gentiandrum_${name}`, help, labelNames, registers: [this._registry] });
  }
}

interface PlacementTotals {
  service: string;
  place: TargetLocality;
  afterRefusal: boolean;
  count: number;
}

function targetLoadValues(state: TargetLoadState | undefined): [string, number][] {
  if (!state) {
    return [];
  }
  const { slowness, slownessAgeSeconds, statements, invalid } = state;
  return [
    ...(slowness === undefined ? [] : [['gate_slowness', slowness] satisfies [string, number]]),
    ...(slownessAgeSeconds === undefined ? [] : [['gate_slowness_age_seconds', slownessAgeSeconds] satisfies [string, number]]),
    ['load_statements', statements],
    ['load_statements_invalid', invalid],
  ];
}

function roomValues({ capacity, change }: { capacity: number; change: number }): [string, number][] {
  return [
    ['service_room', capacity],
    ['service_room_change', change],
  ];
}

function memoryValues({ held, waiting }: MetricsView['memory']): [string, number][] {
  const places = Object.entries(held).map(([place, bytes]): [string, number] => [`held_bytes_${place}`, bytes]);
  return [['bodies_waiting_for_memory', waiting], ...places];
}

function repeatValues({ urgent, other, refusedUrgent, refusedOther }: RankedRepeatCounts): [string, number][] {
  const counts = { urgent, other, refused_urgent: refusedUrgent, refused_other: refusedOther };
  return Object.entries(counts).map(([name, count]) => [`repeats_${name}`, count]);
}

function sumBy<T extends { count: number }>(entries: Iterable<T>, keyOf: (entry: T) => string): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const entry of entries) {
    const key = keyOf(entry);
    sums[key] = (sums[key] ?? 0) + entry.count;
  }
  return sums;
}
