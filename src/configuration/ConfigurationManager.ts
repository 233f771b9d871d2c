import type { CoreContext } from '../core/CoreContext.ts';
import type {
  KeyValueAnsweredInput, OperatorCalledInput, PeerMessageReceivedInput,
} from '../core/CoreInput.ts';
import { EMPTY_FLEET_STATE, type FleetState } from '../intents/FleetState.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import {
  ConfigurationFollower, type ConfigurationFollowerOptions,
} from './ConfigurationFollower.ts';
import { ConfigurationWriter, type ConfigurationWriterOptions } from './ConfigurationWriter.ts';

/** Options of a {@link ConfigurationManager}: those of the follower and of the writer. */
export interface ConfigurationManagerOptions extends
  Omit<ConfigurationFollowerOptions, 'getPeers'>, ConfigurationWriterOptions {}

/** Follows the configuration and executes the operators' calls that change it. */
export class ConfigurationManager {
  readonly follower: ConfigurationFollower;

  readonly #writer: ConfigurationWriter;

  readonly #getMembers: () => readonly MemberRecord[];

  /**
   * @param context - time, randomness and the core's outputs
   * @param options - defaults: those of the follower and of the writer
   */
  constructor(context: CoreContext, options: Partial<ConfigurationManagerOptions> = {}) {
    const { getMembers = () => [] } = options;
    const getFleetState = (): FleetState => ({ ...EMPTY_FLEET_STATE, hosts: getMembers() });
    this.#getMembers = getMembers;
    this.follower = new ConfigurationFollower(context, {
      ...options,
      getPeers: () => getMembers().filter(({ hostId }) => hostId !== context.self.hostId),
    });
    this.#writer = new ConfigurationWriter(context, this.follower, { getFleetState, ...options });
  }

  /**
   * @returns all known members, including this host
   */
  getMembers(): readonly MemberRecord[] {
    return this.#getMembers();
  }

  /**
   * Passes an answer to the follower and to the writer.
   *
   * @param input - any answer of the key-value service
   */
  handleKeyValueAnswer(input: KeyValueAnsweredInput): void {
    this.follower.handleKeyValueAnswer(input);
    this.#writer.handleKeyValueAnswer(input);
  }

  /**
   * Passes a message to the follower.
   *
   * @param input - any message from a peer
   */
  handlePeerMessage(input: PeerMessageReceivedInput): void {
    this.follower.handlePeerMessage(input.fromHostId, input.message);
  }

  /**
   * Starts an operator's call; the answer is emitted as `answerOperator`.
   *
   * @param input - the call
   */
  handleOperatorCall(input: OperatorCalledInput): void {
    this.#writer.handleOperatorCall(input);
  }

  /** Runs the due work of the follower and the writer. */
  tick(): void {
    this.follower.tick();
    this.#writer.tick();
  }

  /**
   * @returns the time at which the next tick is due
   */
  getNextWakeMs(): number {
    return Math.min(this.follower.getNextWakeMs(), this.#writer.getNextWakeMs());
  }
}
