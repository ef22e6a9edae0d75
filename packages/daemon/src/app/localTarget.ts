/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The target on this host: its announcements, its gate, and whether it accepts requests. */

import { Gate, type GateCall, type GateEvents, monotonicMs, type TargetState } from '@gentiandrum/core';
import type { Announcement, TargetIntake } from '@gentiandrum/protocol';
import type { Logger } from './logger.js';

/** Inputs that determine the state of a target that announces itself. */
interface StateInputs {
  /** Whether the target announced that it accepts requests. */
  accepting: boolean;
  /** Intake that the operator configured. */
  intake: TargetIntake;
  /** Whether the daemon is starting, and may not know yet which requests crash targets. */
  starting: boolean;
  /** Whether the daemon is stopping. */
  stopping: boolean;
}

/** Tracks the target on this host. */
export class LocalTarget {
  private _announcement: Announcement | undefined;
  private _announcedAt = -Infinity;
  private _gate: Gate<GateCall> | undefined;
  private readonly _inputs: StateInputs = { accepting: true, intake: 'serving', starting: true, stopping: false };
  private _state: TargetState = 'absent';

  constructor(
    private readonly _favour: () => 'goodput' | 'recovery',
    private readonly _gateEvents: GateEvents<GateCall>,
    private readonly _onStateChange: () => void,
    private readonly _logger: Logger,
    private readonly _timeoutMs: number,
  ) {}

  /** The latest announcement. */
  get announcement(): Announcement | undefined {
    return this._announcement;
  }

  /** Gate of the target; undefined before the first announcement. */
  get gate(): Gate<GateCall> | undefined {
    return this._gate;
  }

  /** State that is published to other daemons. */
  get state(): TargetState {
    return this._state;
  }

  /** Processes an announcement. A target with another name, service or address gets a new gate. */
  announce(announcement: Announcement): void {
    const now = monotonicMs();
    const previous = this._announcement;
    const same = previous?.target === announcement.target && previous.service === announcement.service && previous.url === announcement.url;
    if (!same || !this._gate) {
      this._gate?.close('no_target');
      this._gate = new Gate(announcement.slots, this._favour, this._gateEvents, now);
      this._applyToGate(this._state);
      this._logger.info('target', `Target ${announcement.target} announced itself.`, { ...announcement });
    }
    this._announcement = announcement;
    this._announcedAt = now;
    this._gate.announce(announcement.slots);
    this._inputs.accepting = announcement.accepting;
    this._updateState();
    if (!same || previous.slots !== announcement.slots) {
      this._onStateChange();
    }
  }

  /** Sets the intake that the operator configured. */
  setIntake(intake: TargetIntake): void {
    this._inputs.intake = intake;
    this._updateState();
  }

  /** Accepts requests from now on, as far as the target does: the start of the daemon is over. */
  start(): void {
    this._inputs.starting = false;
    this._updateState();
  }

  /** Refuses new requests because the daemon is stopping. */
  stop(): void {
    this._inputs.stopping = true;
    this._updateState();
  }

  /** Marks the target as absent if its last announcement has timed out; called periodically. */
  tick(): void {
    this._updateState();
  }

  private _updateState(): void {
    const state = this._computeState();
    if (state === this._state) {
      return;
    }
    const before = this._state;
    this._state = state;
    this._applyToGate(state);
    this._logger.info('target', `State of ${this._announcement?.target ?? 'target'} changed from ${before} to ${state}.`, {
      ...this._inputs,
      state,
    });
    this._onStateChange();
  }

  private _computeState(): TargetState {
    if (!this._announcement || monotonicMs() - this._announcedAt > this._timeoutMs) {
      return 'absent';
    }
    const { accepting, intake, starting, stopping } = this._inputs;
    if (starting) {
      return 'absent';
    }
    return stopping || !accepting || intake === 'leaving' ? 'leaving' : 'serving';
  }

  private _applyToGate(state: TargetState): void {
    switch (state) {
      case 'serving':
        this._gate?.reopen();
        return;
      case 'leaving':
        this._gate?.close(this._inputs.stopping ? 'stopping' : 'target_leaving');
        return;
      case 'absent':
        this._gate?.close('no_target');
        return;
    }
  }
}
