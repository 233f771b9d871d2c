import type { CoreContext } from '../core/CoreContext.ts';
import type { HostId, IncarnationId } from '../lib/ids.ts';
import type {
  HeartbeatAnswerMessage, HeartbeatMessage, MemberRecord, PeerMessage,
} from '../peers/PeerMessage.ts';
import type { HostListEntry } from '../platform/HostListEntry.ts';
import { PendingHeartbeatTable } from './PendingHeartbeatTable.ts';
import { createHintRecord } from './createHintRecord.ts';
import { HeartbeatTargets } from './HeartbeatTargets.ts';
import type { MemberEntry } from './MemberEntry.ts';
import type { MembershipEvent } from './MembershipEvent.ts';
import { DEFAULT_MEMBERSHIP_OPTIONS, type MembershipOptions } from './MembershipOptions.ts';
import { MemberUpdateQueue } from './MemberUpdateQueue.ts';
import type { MembershipStart } from './MembershipStart.ts';
import { MemberTable } from './MemberTable.ts';
import { PauseDetector } from './PauseDetector.ts';
import { shuffle } from './shuffle.ts';
import { SuspicionTable } from './SuspicionTable.ts';
import { VersionUpdateQueue } from './VersionUpdateQueue.ts';
import { ViewDigest } from './ViewDigest.ts';

/** Statements a process can make about itself within one millisecond of start time. */
const GENERATIONS_PER_START_MS = 1024;

/**
 * Who takes part in the fleet: heartbeats with answers, suspicion with refutation (after SWIM, Das,
 * Gupta and Motivala, 2002), changes carried by the heartbeats. The traffic of one host does not
 * grow with the fleet. A full view, direct contact within the failure domain and over few links.
 */
export class Membership {
  readonly #context: CoreContext;

  readonly #options: MembershipOptions;

  readonly #table = new MemberTable();

  readonly #memberUpdates: MemberUpdateQueue;

  readonly #versionUpdates: VersionUpdateQueue;

  readonly #digest: ViewDigest;

  readonly #pauseDetector: PauseDetector;

  readonly #targets: HeartbeatTargets;

  readonly #pendingHeartbeats: PendingHeartbeatTable;

  readonly #suspicions: SuspicionTable;

  #self: MemberRecord;

  #events: MembershipEvent[] = [];

  #sequence = 0;

  #round = 0;

  #isReplaced = false;

  readonly #createdAtMs: number;

  #nextRoundAtMs: number;

  /**
   * @param context - time, randomness and the way out
   * @param start - about the process
   * @param options - see `DEFAULT_MEMBERSHIP_OPTIONS`
   */
  constructor(
    context: CoreContext,
    start: MembershipStart,
    options: Partial<MembershipOptions> = {},
  ) {
    this.#context = context;
    this.#options = { ...DEFAULT_MEMBERSHIP_OPTIONS, ...options };
    this.#memberUpdates = new MemberUpdateQueue(this.#table, this.#options);
    this.#versionUpdates = new VersionUpdateQueue(this.#table, this.#options);
    this.#digest = new ViewDigest(this.#table, this.#options.digestBuckets);
    this.#pendingHeartbeats = new PendingHeartbeatTable(this.#options);
    this.#suspicions = new SuspicionTable(this.#options.suspicionMs);
    this.#pauseDetector = new PauseDetector(this.#options);
    this.#createdAtMs = context.getNowMs();
    this.#targets = new HeartbeatTargets(context.self, context.random, this.#table);
    this.#nextRoundAtMs = context.getNowMs()
      + Math.floor(context.random.getFraction() * this.#options.periodMs);
    this.#self = {
      hostId: context.self.hostId,
      incarnationId: context.self.incarnationId,
      failureDomainId: context.self.failureDomainId,
      peerAddress: context.self.peerAddress,
      state: 'alive',
      generation: Math.floor(start.startedAtMs) * GENERATIONS_PER_START_MS,
      configurationVersion: 0,
    };
  }

  /**
   * @returns the own record as the peers get it
   */
  getSelf(): MemberRecord {
    return this.#self;
  }

  /**
   * @returns all known members with the own host, the dead ones included for a time
   */
  getMembers(): MemberRecord[] {
    return [this.#self, ...this.#table.getAll().map(({ record }) => record)];
  }

  /**
   * @returns hosts that take part, suspected ones included; the own host unless it is leaving
   */
  getAliveHostIds(): HostId[] {
    return this.getMembers()
      .filter(({ state }) => state === 'alive' || state === 'suspect')
      .map(({ hostId }) => hostId);
  }

  /**
   * @returns false between waking from a pause and hearing of the peers again; a host does nothing
   *   that rests on its duties until then
   */
  isViewFresh(): boolean {
    return this.#pauseDetector.isFresh(this.#context.getNowMs(), this.#nextRoundAtMs);
  }

  /**
   * @returns the members in other failure domains that this host holds links to
   */
  getLinks(): MemberRecord[] {
    return this.#targets.getLinks(this.#options.linksPerDomain);
  }

  /**
   * Takes the platform's host list as a hint whom to contact. It lags, so that it neither revives
   * nor removes anybody.
   *
   * @param hosts - the list
   */
  handleHostList(hosts: readonly HostListEntry[]): void {
    hosts.filter(({ hostId }) => hostId !== this.#self.hostId).forEach((host) => {
      const known = this.#table.get(host.hostId)?.record;
      const hint = createHintRecord(host);
      if (known === undefined) {
        this.#merge(hint);
      } else if (known.incarnationId !== host.incarnationId && known.state === 'dead') {
        this.#sendHeartbeat(hint);
      }
    });
  }

  /**
   * @param fromIncarnationId - the process start that the connection belongs to
   * @param message - a heartbeat or the answer to one
   */
  handleHeartbeat(
    fromIncarnationId: IncarnationId,
    message: HeartbeatMessage | HeartbeatAnswerMessage,
  ): void {
    const { self, members } = message;
    if (self.hostId === this.#self.hostId || self.incarnationId !== fromIncarnationId) {
      return;
    }
    this.#merge(self);
    members.forEach((member) => this.#merge(member));
    this.#versionUpdates.receive({
      ...message.versions, [self.hostId]: self.configurationVersion,
    });
    const known = this.#table.get(self.hostId)?.record;
    if (known?.incarnationId !== self.incarnationId) {
      return;
    }
    this.#recordContact(self.hostId);
    if (message.kind === 'heartbeat') {
      this.#send(known, {
        kind: 'heartbeatAnswer',
        sequence: message.sequence,
        self: this.#self,
        members: this.#memberUpdates.select(known, this.#getDifferent(message)),
        versions: this.#versionUpdates.select(),
        viewDigest: this.#digest.get(this.#self),
      });
    }
    if (self.configurationVersion > this.#self.configurationVersion) {
      this.#events.push({ kind: 'newerConfigurationSeen', member: self });
    }
  }

  /**
   * @param hostId - a member to whom no connection could be made or kept
   */
  handleUnreachable(hostId: HostId): void {
    this.#suspect(this.#table.get(hostId)?.record);
  }

  /**
   * Tells the peers which configuration is in force here, some of them at once.
   *
   * @param version - the version of the configuration
   */
  setConfigurationVersion(version: number): void {
    if (version <= this.#self.configurationVersion) {
      return;
    }
    this.#self = { ...this.#self, configurationVersion: version };
    [
      ...this.#targets.takeOwnDomain(this.#options.announceFanout),
      ...this.#targets.getLinks(this.#options.linksPerDomain),
    ].filter((member) => member.configurationVersion < version)
      .forEach((member) => this.#sendHeartbeat(member));
  }

  /** Tells the peers that this host takes no new work, some of them at once. */
  announceLeaving(): void {
    if (this.#self.state === 'leaving') {
      return;
    }
    this.#updateSelf({ state: 'leaving' });
    this.#targets.takeOwnDomain(this.#options.announceFanout)
      .forEach((member) => this.#sendHeartbeat(member));
  }

  /** Sends what is due and judges the members that did not answer. */
  tick(): void {
    const nowMs = this.#context.getNowMs();
    this.#checkPause(nowMs);
    this.#handleOverdueHeartbeats(nowMs);
    this.#handleExpiredSuspicions(nowMs);
    if (nowMs >= this.#nextRoundAtMs) {
      this.#removeDead(nowMs);
      this.#startRound();
      this.#nextRoundAtMs = nowMs + this.#options.periodMs;
    }
  }

  /**
   * @returns when the next tick is due
   */
  getNextWakeMs(): number {
    return Math.min(
      this.#nextRoundAtMs,
      this.#pendingHeartbeats.getNextWakeMs(),
      this.#suspicions.getNextWakeMs(),
    );
  }

  /**
   * @returns what changed since the last call
   */
  takeEvents(): MembershipEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

  #checkPause(nowMs: number): void {
    if (this.#pauseDetector.isLate(nowMs, this.#nextRoundAtMs)) {
      // The silence of the peers was the own pause, so that nobody is suspected for it.
      this.#pendingHeartbeats.clear();
      this.#pauseDetector.recordPause(nowMs);
    }
    if (this.#pauseDetector.endStaleWait(nowMs, this.#table.size === 0)) {
      this.#events.push({ kind: 'viewRefreshed' });
    }
  }

  #handleOverdueHeartbeats(nowMs: number): void {
    this.#pendingHeartbeats.takeOverdue(nowMs).forEach(({ hostId, missedCount }) => {
      const member = this.#table.get(hostId)?.record;
      if (missedCount >= this.#options.missedAnswerLimit) {
        this.#suspect(member);
      } else if (member !== undefined) {
        this.#sendHeartbeat(member, missedCount);
      }
    });
  }

  #handleExpiredSuspicions(nowMs: number): void {
    this.#suspicions.getExpired(nowMs)
      .flatMap((hostId) => this.#table.get(hostId)?.record ?? [])
      .forEach((member) => this.#merge({ ...member, state: 'dead' }));
  }

  #removeDead(nowMs: number): void {
    this.#table.removeDead(nowMs - this.#options.deadRetentionMs)
      .forEach((hostId) => this.#memberUpdates.remove(hostId));
  }

  #suspect(member: MemberRecord | undefined): void {
    if (member?.state === 'alive') {
      this.#merge({ ...member, state: 'suspect' });
      // It learns of the suspicion at once, so that it can object.
      this.#sendHeartbeat(member);
    } else if (member?.state === 'leaving') {
      this.#merge({ ...member, state: 'dead' });
    }
  }

  #startRound(): void {
    const {
      fanout, suspectFanout, linksPerDomain, linkEveryRounds, deadEveryRounds,
    } = this.#options;
    this.#round += 1;
    const suspects = this.#table.getPresent(this.#self.failureDomainId)
      .filter(({ state }) => state === 'suspect');
    const targets = [
      ...shuffle(suspects, this.#context.random).slice(0, suspectFanout),
      ...this.#targets.takeOwnDomain(fanout),
      ...this.#round % linkEveryRounds === 0 ? this.#targets.takeNextLink(linksPerDomain) : [],
      ...this.#round % deadEveryRounds === 0 ? this.#targets.takeNextDead() : [],
    ];
    new Map(targets.map((member) => [member.hostId, member]))
      .forEach((member) => this.#sendHeartbeat(member));
  }

  #sendHeartbeat(member: MemberRecord, missedCount = 0): void {
    this.#sequence += 1;
    if (member.state !== 'dead') {
      this.#pendingHeartbeats.add(member.hostId, this.#context.getNowMs(), missedCount);
    }
    this.#send(member, {
      kind: 'heartbeat',
      sequence: this.#sequence,
      self: this.#self,
      members: this.#memberUpdates.select(member),
      configurationVersion: this.#self.configurationVersion,
      versions: this.#versionUpdates.select(),
      viewDigest: this.#digest.get(this.#self),
    });
  }

  #send(member: MemberRecord, message: PeerMessage): void {
    this.#context.emit({
      kind: 'sendPeerMessage', toHostId: member.hostId, address: member.peerAddress, message,
    });
  }

  #getDifferent({ viewDigest }: HeartbeatMessage): MemberRecord[] {
    return shuffle(this.#digest.getDifferent(this.#self, viewDigest), this.#context.random);
  }

  #recordContact(hostId: HostId): void {
    this.#pendingHeartbeats.remove(hostId);
    if (this.#pauseDetector.recordContact()) {
      this.#events.push({ kind: 'viewRefreshed' });
    }
  }

  #merge(received: MemberRecord): void {
    if (received.hostId === this.#self.hostId) {
      this.#refute(received);
      return;
    }
    if (this.#table.merge(received, this.#context.getNowMs())) {
      const { record } = this.#table.get(received.hostId) as MemberEntry;
      this.#memberUpdates.add(record.hostId);
      this.#suspicions.update(record, this.#context.getNowMs());
      this.#events.push({ kind: 'memberChanged', member: record });
    }
  }

  /** Outbids what is said about this host when it is not what this host says. */
  #refute(heard: MemberRecord): void {
    const isWrong = heard.state !== this.#self.state
      || heard.incarnationId !== this.#self.incarnationId;
    if (!isWrong || heard.generation < this.#self.generation) {
      return;
    }
    const ageMs = this.#context.getNowMs() - this.#createdAtMs;
    if (heard.incarnationId === this.#self.incarnationId || ageMs < this.#options.newProcessMs) {
      this.#updateSelf({ generation: heard.generation + 1 });
    } else if (!this.#isReplaced) {
      // A later start has this host's name: this process was taken for dead and replaced.
      this.#isReplaced = true;
      this.#events.push({ kind: 'selfReplaced', incarnationId: heard.incarnationId });
    }
  }

  #updateSelf(change: Partial<MemberRecord>): void {
    this.#self = { ...this.#self, generation: this.#self.generation + 1, ...change };
  }
}
