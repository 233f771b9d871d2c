import type { HostSettings } from '../settings/HostSettings.ts';
import type { CliIo } from './CliIo.ts';

/** Entry host started by the `serve` command. */
export interface RunningHost {
  readonly httpUrl: string;
  readonly peerAddress: string;
  /** Resolves when the host has stopped. */
  readonly stopped: Promise<void>;
  /** Starts the graceful shutdown. */
  stop(): void;
}

/** Options for starting a host. */
export interface ServeHostOptions {
  readonly settings: HostSettings;
  readonly operatorKey: string;
  readonly peerKey: string | null;
}

/** Programs that commands start; passed in so that tests can replace them. */
export interface CliPrograms {
  serveHost(options: ServeHostOptions): Promise<RunningHost>;
}

/** Context passed to every command. */
export interface CliContext {
  readonly io: CliIo;
  readonly programs: CliPrograms;
}
