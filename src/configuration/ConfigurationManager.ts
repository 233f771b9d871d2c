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

/** Options of a host's part in following and changing the configuration. */
export interface ConfigurationManagerOptions extends
  Omit<ConfigurationFollowerOptions, 'getPeers'>, ConfigurationWriterOptions {}

/** Follows the configuration and carries out the operators' calls that change it. */
export class ConfigurationManager {
  readonly follower: ConfigurationFollower;

  readonly #writer: ConfigurationWriter;

  readonly #getMembers: () => readonly MemberRecord[];

  /**
   * @param context - time, randomness and the way out
   * @param options - see the follower's and the writer's defaults
   */
  constructor(context: CoreContext, options: Partial<ConfigurationManagerOptions> = {}) {
    const { getMembers = () => [] } = options;
    const getFleetState = (): FleetState => ({ ...EMPTY_FLEET_STATE, hosts: getMembers() });
    this.#getMembers = getMembers;
    this.follower = new ConfigurationFollower(context, {
      ...options,
      getPeers: () => getMembers().filter(({ hostId }) => hostId !== context.self.hostId),
    });
    this.#writer = new ConfigurationWriter(context, this.follower, { getFleetState: getFleetState, ...options });
  }

  /**
   * @returns all members that were given, the own host among them
   */
  getMembers(): readonly MemberRecord[] {
    return this.#getMembers();
  }

  /**
   * @param input - any answer of the key-value service
   */
  handleKeyValueAnswer(input: KeyValueAnsweredInput): void {
    this.follower.handleKeyValueAnswer(input);
    this.#writer.handleKeyValueAnswer(input);
  }

  /**
   * @param input - any message of a peer
   */
  handlePeerMessage(input: PeerMessageReceivedInput): void {
    this.follower.handlePeerMessage(input.fromHostId, input.message);
  }

  /**
   * @param input - an operator's call; its answer is emitted
   */
  handleOperatorCall(input: OperatorCalledInput): void {
    this.#writer.handleOperatorCall(input);
  }

  /** Does what is due. */
  tick(): void {
    this.follower.tick();
    this.#writer.tick();
  }

  /**
   * @returns when the next tick is needed
   */
  getNextWakeMs(): number {
    return Math.min(this.follower.getNextWakeMs(), this.#writer.getNextWakeMs());
  }
}
