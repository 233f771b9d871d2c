import { ClaimManager } from '../../src/claims/ClaimManager.ts';
import { DEFAULT_CLAIM_OPTIONS } from '../../src/claims/ClaimOptions.ts';
import type { ClaimPort } from '../../src/claims/ClaimPort.ts';
import { ConfigurationManager } from '../../src/configuration/ConfigurationManager.ts';
import { Core } from '../../src/core/Core.ts';
import type { CoreContext, SelfIdentity } from '../../src/core/CoreContext.ts';
import type { CoreInput } from '../../src/core/CoreInput.ts';
import type { CoreOutput } from '../../src/core/CoreOutput.ts';
import { CostLedger } from '../../src/cost/CostLedger.ts';
import type { CostPort } from '../../src/cost/CostPort.ts';
import { DEFAULT_COST_OPTIONS } from '../../src/cost/CostOptions.ts';
import type { GrantCoordinatorDirectory } from '../../src/grants/GrantCoordinatorDirectory.ts';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { toId } from '../../src/lib/ids.ts';
import type { MemberRecord } from '../../src/peers/PeerMessage.ts';
import { PoolRouter } from '../../src/routing/PoolRouter.ts';
import { Quarantine } from '../../src/quarantine/Quarantine.ts';
import type { EventQueue } from './EventQueue.ts';
import { ImmediateClaims } from './ImmediateClaims.ts';
import type { Mutation } from './MUTATION.ts';

/** What a host needs from the run around it. */
export interface FaultHostOptions {
  readonly index: number;
  readonly incarnationNumber: number;
  readonly seed: number;
  readonly queue: EventQueue;
  readonly mutation: Mutation | null;
  getMembers(): readonly MemberRecord[];
  /** Carries out what the core wants done. */
  perform(host: FaultHost, output: CoreOutput): void;
}

/** The host that is steward of every upstream and owner of every claim shard. */
export const DUTY_HOST_INDEX = 0;
const HOST_COUNT = 3;
/** A new steward waits out the longest grant; short ones fit that into a run. */
const SHORT_GRANTS = { grantMs: 2000, maxGrantMs: 2500 };
const SEED_STEP = 0x9e3779b1;
const DOMAIN_LETTERS = 'abc';

function createDoubleBookingPort(ledger: CostLedger): CostPort {
  return {
    book: (cost) => {
      ledger.book(cost);
      ledger.book({ ...cost, attemptId: toId(`${cost.attemptId} again`) });
    },
  };
}

/** One process: a core with its managers, under the run's clock. */
export class FaultHost implements CoreContext {
  readonly index: number;

  readonly self: SelfIdentity;

  readonly random: SeededRandomSource;

  readonly core: Core;

  readonly claims: ClaimPort;

  readonly ledger: CostLedger;

  readonly quarantine: Quarantine;

  isDead = false;

  isFrozen = false;

  readonly #options: FaultHostOptions;

  #outputs: CoreOutput[] = [];

  #buffered: CoreInput[] = [];

  #wakeAtMs = Infinity;

  /**
   * @param options - the run around the host
   */
  constructor(options: FaultHostOptions) {
    const { index, incarnationNumber, seed } = options;
    this.#options = options;
    this.index = index;
    this.random = new SeededRandomSource(seed * SEED_STEP + index * 7919 + incarnationNumber);
    const letter = DOMAIN_LETTERS[index] ?? 'a';
    this.self = {
      hostId: toId(`host-${letter}`),
      incarnationId: toId(`host-${letter}-${incarnationNumber}`),
      failureDomainId: toId(`domain-${letter}`),
      peerAddress: `127.0.0.1:${7000 + index}`,
    };
    const getWallMs = (): number => options.queue.nowMs;
    const claims = new ClaimManager(this, { ...DEFAULT_CLAIM_OPTIONS, getWallMs });
    this.claims = options.mutation === 'dispatchBeforeClaim' ? new ImmediateClaims() : claims;
    this.quarantine = new Quarantine(this);
    this.ledger = new CostLedger(this, { ...DEFAULT_COST_OPTIONS, getWallMs });
    const configurationManager = new ConfigurationManager(this, {
      getMembers: () => options.getMembers(),
    });
    configurationManager.follower.setIsWatcher(true);
    this.core = new Core(this, {
      quarantine: this.quarantine,
      claims: this.claims,
      costs: options.mutation === 'bookTwice' ? createDoubleBookingPort(this.ledger) : this.ledger,
      ledger: this.ledger,
      router: new PoolRouter(this, this.#createGrantDirectory(), { grants: SHORT_GRANTS }),
      configurationManager,
    });
    this.updateMembers();
  }

  /** @returns name of the place in the network */
  get place(): string {
    return this.self.hostId;
  }

  /** @inheritdoc */
  getNowMs(): number {
    return this.#options.queue.nowMs;
  }

  /** @inheritdoc */
  emit(output: CoreOutput): void {
    this.#outputs.push(output);
  }

  /** Tells the managers who the members are. */
  updateMembers(): void {
    const members = this.#options.getMembers().map(({ hostId, incarnationId, peerAddress }) => ({
      hostId, incarnationId, address: peerAddress,
    }));
    this.quarantine.setPeers(members.filter(({ hostId }) => hostId !== this.self.hostId));
    const owner = members[DUTY_HOST_INDEX]?.hostId ?? null;
    const holder = members[(this.index + 1) % members.length];
    this.ledger.setDuties({
      members,
      ownerHostIds: Array.from({ length: DEFAULT_COST_OPTIONS.shardCount }, () => owner),
      copyHolderHostId: holder?.hostId ?? null,
    });
    if (this.claims instanceof ClaimManager) {
      this.claims.setOwners({
        members,
        ownerHostIds: Array.from({ length: DEFAULT_CLAIM_OPTIONS.shardCount }, () => owner),
      });
    }
  }

  /**
   * @param incarnationId - a process that is gone
   */
  recordGone(incarnationId: string): void {
    this.ledger.recordIncarnationGone(toId(incarnationId));
    if (this.claims instanceof ClaimManager) {
      this.claims.recordIncarnationGone(toId(incarnationId));
    }
  }

  /**
   * @param inputs - what happens; kept back while the host is frozen
   */
  step(...inputs: CoreInput[]): void {
    if (this.isDead) {
      return;
    }
    this.#buffered.push(...inputs);
    if (this.isFrozen) {
      return;
    }
    const taken = this.#buffered;
    this.#buffered = [];
    this.core.step(taken);
    this.#flush();
    this.#scheduleWake();
  }

  /** Goes on after a freeze with everything that came meanwhile. */
  resume(): void {
    this.isFrozen = false;
    this.step();
  }

  #flush(): void {
    const outputs = this.#outputs;
    this.#outputs = [];
    outputs.forEach((output) => this.#options.perform(this, output));
  }

  #scheduleWake(): void {
    const { queue } = this.#options;
    const dueMs = Math.max(this.core.getNextWakeMs(), queue.nowMs + 1);
    if (dueMs === Infinity || dueMs >= this.#wakeAtMs) {
      return;
    }
    this.#wakeAtMs = dueMs;
    queue.schedule(dueMs - queue.nowMs, () => {
      this.#wakeAtMs = Infinity;
      this.step();
    });
  }

  #createGrantDirectory(): GrantCoordinatorDirectory {
    const holdsDuties = this.index === DUTY_HOST_INDEX;
    const sinceMs = this.#options.incarnationNumber === 1 ? -Infinity : this.getNowMs();
    const getAddress = (hostId: string): string => (
      this.#options.getMembers().find((member) => member.hostId === hostId)?.peerAddress ?? ''
    );
    return {
      getGrantCoordinator: () => {
        const member = this.#options.getMembers()[DUTY_HOST_INDEX];
        return member === undefined
          ? null : { hostId: member.hostId, address: member.peerAddress };
      },
      getOwnDuty: () => (holdsDuties
        ? { epoch: this.#options.incarnationNumber, sinceMs, untilMs: Infinity }
        : null),
      getAddress,
      getHostCountBound: () => HOST_COUNT,
    };
  }
}
