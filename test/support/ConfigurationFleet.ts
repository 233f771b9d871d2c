import {
  ConfigurationFollower, type ConfigurationFollowerOptions,
} from '../../src/configuration/ConfigurationFollower.ts';
import {
  ConfigurationWriter, type ConfigurationWriterOptions,
} from '../../src/configuration/ConfigurationWriter.ts';
import type { CoreOutput } from '../../src/core/CoreOutput.ts';
import type { Intent } from '../../src/intents/Intent.ts';
import { assertExists } from '../../src/lib/assertExists.ts';
import { toId, type HostId, type PlanId } from '../../src/lib/ids.ts';
import type { OperatorAnswer } from '../../src/operators/OperatorAnswer.ts';
import type { OperatorCall } from '../../src/operators/OperatorCall.ts';
import type { MemberRecord } from '../../src/peers/PeerMessage.ts';
import type { KeyValueCall, WatchCall } from '../../src/platform/KeyValueCall.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';
import { FakeCoreContext } from './FakeCoreContext.ts';
import { FakeConfigurationStore } from './FakeConfigurationStore.ts';

interface PendingWatch {
  readonly call: WatchCall;
  readonly endMs: number;
  readonly run: () => void;
}

/** One host of the fleet: its managers alone, without a core. */
export interface FleetHost {
  readonly hostId: HostId;
  readonly context: FakeCoreContext;
  readonly follower: ConfigurationFollower;
  readonly writer: ConfigurationWriter;
}

/** Hosts under one manual clock with one store; messages arrive at once, in order. */
export class ConfigurationFleet {
  readonly clock = new ManualClock();

  readonly store = new FakeConfigurationStore();

  readonly hosts: FleetHost[] = [];

  readonly answers = new Map<string, OperatorAnswer>();

  /** Calls to the store, a watch counting when it is made. */
  callCount = 0;

  /** Configurations that were sent between hosts. */
  sentConfigurationCount = 0;

  /** Hosts that no message reaches or leaves. */
  readonly isolatedIds = new Set<HostId>();

  #watches: PendingWatch[] = [];

  #operatorCallCount = 0;

  /** Versions as the members last said. */
  #versions = new Map<HostId, number>();

  /**
   * @param hostId - of the new host
   * @param options - of its managers
   * @returns the host
   */
  add(
    hostId: string,
    options: Partial<ConfigurationFollowerOptions & ConfigurationWriterOptions> = {},
  ): FleetHost {
    const context = new FakeCoreContext(hostId, this.clock, this.hosts.length + 1);
    const id = context.self.hostId;
    const getPeers = (): MemberRecord[] => this.getMembers(id).filter((peer) => peer.hostId !== id);
    const follower = new ConfigurationFollower(context, { getPeers, ...options });
    const writer = new ConfigurationWriter(context, follower, {
      getMembers: () => this.getMembers(id), ...options,
    });
    const host = {
      hostId: id, context, follower, writer,
    };
    this.hosts.push(host);
    return host;
  }

  /**
   * @param selfId - the host that asks; it knows its own version
   * @returns the members as the last heartbeats showed them
   */
  getMembers(selfId: HostId): MemberRecord[] {
    return this.hosts.map(({ hostId, context, follower }) => ({
      hostId,
      incarnationId: context.self.incarnationId,
      failureDomainId: context.self.failureDomainId,
      peerAddress: hostId,
      state: 'alive',
      generation: 1,
      configurationVersion: hostId === selfId
        ? follower.getConfiguration().version
        : this.#versions.get(hostId) ?? 0,
    }));
  }

  /** Delivers one round of heartbeats between all hosts that reach each other. */
  sendHeartbeats(): void {
    this.hosts.forEach(({ hostId, follower }) => {
      const { version } = follower.getConfiguration();
      this.#versions.set(hostId, version);
      this.hosts
        .filter((other) => other.hostId !== hostId && this.#isConnected(hostId, other.hostId))
        .forEach((other) => other.follower.recordPeerVersion(hostId, hostId, version));
    });
    this.settle();
  }

  /**
   * Lets time pass in steps.
   *
   * @param durationMs - how long
   * @param stepMs - between ticks
   */
  advance(durationMs: number, stepMs = 50): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      this.clock.advance(stepMs);
      this.settle();
    }
  }

  /** Ticks and delivers until nothing is left to deliver. */
  settle(): void {
    this.hosts.forEach(({ follower, writer }) => {
      follower.tick();
      writer.tick();
    });
    while (this.#deliver() || this.#answerDueWatches()) {
      // Each round may bring more outputs.
    }
  }

  /**
   * Makes an operator's call and lets time pass until it is answered.
   *
   * @param host - the host that is called
   * @param call - the call
   * @returns the answer
   */
  call(host: FleetHost, call: OperatorCall): OperatorAnswer {
    const callId = this.start(host, call);
    for (let round = 0; round < 1000 && !this.answers.has(callId); round += 1) {
      this.advance(50);
    }
    return assertExists(this.answers.get(callId), 'The call was not answered');
  }

  /**
   * Makes an operator's call without waiting.
   *
   * @param host - the host that is called
   * @param call - the call
   * @returns the call's id
   */
  start(host: FleetHost, call: OperatorCall): string {
    this.#operatorCallCount += 1;
    const callId = `call-${this.#operatorCallCount}`;
    host.writer.handleOperatorCall({ kind: 'operatorCalled', callId, call });
    return callId;
  }

  /**
   * @param host - the host that is called
   * @param intent - to propose
   * @returns the id of the plan
   */
  propose(host: FleetHost, intent: Intent): PlanId {
    const answer = this.call(host, { kind: 'proposeIntent', intent });
    if (answer.kind !== 'planProposed') {
      throw new Error(`Not proposed: ${answer.kind}`);
    }
    return answer.plan.planId;
  }

  /**
   * @param host - the host that is called
   * @param planId - to confirm
   * @returns the answer
   */
  confirm(host: FleetHost, planId: PlanId): OperatorAnswer {
    return this.call(host, { kind: 'confirmPlan', planId });
  }

  #isConnected(left: HostId, right: HostId): boolean {
    return !this.isolatedIds.has(left) && !this.isolatedIds.has(right);
  }

  #deliver(): boolean {
    const outputs = this.hosts.flatMap((host) => host.context.takeOutputs()
      .map((output) => ({ host, output })));
    outputs.forEach(({ host, output }) => this.#handleOutput(host, output));
    return outputs.length > 0;
  }

  #handleOutput(host: FleetHost, output: CoreOutput): void {
    if (output.kind === 'answerOperator') {
      this.answers.set(output.callId, output.answer);
    } else if (output.kind === 'callKeyValue') {
      this.#callStore(output.call, () => {
        const answer = this.store.answer(output.call);
        if (answer !== null) {
          const { operationId } = output;
          host.follower.handleKeyValueAnswer({ kind: 'keyValueAnswered', operationId, answer });
          host.writer.handleKeyValueAnswer({ kind: 'keyValueAnswered', operationId, answer });
        }
      });
    } else if (output.kind === 'sendPeerMessage') {
      const target = this.hosts.find(({ hostId }) => hostId === output.toHostId);
      if (target !== undefined && this.#isConnected(host.hostId, target.hostId)) {
        this.sentConfigurationCount += output.message.kind === 'configuration' ? 1 : 0;
        target.follower.handlePeerMessage(host.hostId, output.message);
      }
    }
  }

  #callStore(call: KeyValueCall, run: () => void): void {
    this.callCount += 1;
    if (call.kind === 'watch' && !this.store.isDown) {
      this.#watches.push({ call, endMs: this.clock.getMonotonicMs() + call.waitMs, run });
    } else {
      run();
    }
  }

  #answerDueWatches(): boolean {
    const nowMs = this.clock.getMonotonicMs();
    const isDue = ({ call, endMs }: PendingWatch): boolean => endMs <= nowMs
      || this.store.isDown
      || (this.store.entries.get(call.key)?.version ?? 0) > call.afterVersion;
    const due = this.#watches.filter(isDue);
    this.#watches = this.#watches.filter((watch) => !isDue(watch));
    due.forEach(({ run }) => run());
    return due.length > 0;
  }
}

/** An id for tests that need a plan which nobody proposed. */
export const UNKNOWN_PLAN_ID = toId<PlanId>('f'.repeat(32));
