import type { HostSettings } from '../settings/HostSettings.ts';
import type { CliIo } from './CliIo.ts';

/** A host that was started by the `serve` command. */
export interface RunningHost {
  readonly httpUrl: string;
  readonly peerAddress: string;
  /** Resolves when the host has ended. */
  readonly stopped: Promise<void>;
  /** Begins the graceful shutdown. */
  stop(): void;
}

/** What a host is started with. */
export interface ServeHostOptions {
  readonly settings: HostSettings;
  readonly operatorKey: string;
  readonly peerKey: string | null;
}

/** What commands start; given from outside so that tests can replace it. */
export interface CliPrograms {
  serveHost(options: ServeHostOptions): Promise<RunningHost>;
}

/** What every command gets. */
export interface CliContext {
  readonly io: CliIo;
  readonly programs: CliPrograms;
}
