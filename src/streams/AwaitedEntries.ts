import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { STREAM_TTL_MS } from './StreamVersionTable.ts';

interface Waiting {
  readonly startedAtMs: number;
  readonly sinceMs: number;
  readonly listener: (softwareVersion: string | null) => void;
}

/** Streams that wait for the entry of one engine; more are not told, so that they can't go on. */
const MAX_WAITING = 2_000;

/** Waits until the directory has the entries of processes that are known by their start. */
export class AwaitedEntries {
  readonly #clock: Clock;

  readonly #directory: Pick<Directory, 'getUpstream'>;

  readonly #waiting = new Map<UpstreamId, Waiting[]>();

  /**
   * @param clock - tells when nobody needs the answer any more
   * @param directory - brings the entries
   */
  constructor(clock: Clock, directory: Pick<Directory, 'getUpstream' | 'onChange'>) {
    this.#clock = clock;
    this.#directory = directory;
    directory.onChange((change) => {
      if (change.kind === 'upstream') {
        this.#handleEntry(change.entry);
      }
    });
  }

  /**
   * @param id - an engine
   * @param startedAtMs - start of one of its processes
   * @returns whether the directory has the entry of that process
   */
  isListed(id: UpstreamId, startedAtMs: number): boolean {
    return this.#directory.getUpstream(id)?.entry.startedAtMs === startedAtMs;
  }

  /**
   * @param id - an engine
   * @param startedAtMs - start of one of its processes
   * @param listener - receives the software version, at once or when the entry arrives
   * @returns whether it was called at once
   */
  find(id: UpstreamId, startedAtMs: number, listener: Waiting['listener']): boolean {
    const listed = this.#directory.getUpstream(id)?.entry;
    if (listed !== undefined && listed.startedAtMs === startedAtMs) {
      listener(listed.softwareVersion);
      return true;
    }
    const nowMs = this.#clock.getMonotonicMs();
    const waiting = (this.#waiting.get(id) ?? [])
      .filter(({ sinceMs }) => nowMs - sinceMs < STREAM_TTL_MS);
    if (waiting.length < MAX_WAITING) {
      waiting.push({ startedAtMs, sinceMs: nowMs, listener });
    }
    this.#waiting.set(id, waiting);
    return false;
  }

  /**
   * @param ids - engines
   * @returns whether the entry of a process of one of them is awaited
   */
  isAwaiting(ids: readonly UpstreamId[]): boolean {
    const oldestMs = this.#clock.getMonotonicMs() - STREAM_TTL_MS;
    return ids.flatMap((id) => this.#waiting.get(id) ?? [])
      .some(({ sinceMs }) => sinceMs > oldestMs);
  }

  #handleEntry({ id, startedAtMs, softwareVersion }: UpstreamEntry): void {
    const waiting = this.#waiting.get(id);
    if (waiting === undefined) {
      return;
    }
    const others = waiting.filter((each) => each.startedAtMs !== startedAtMs);
    if (others.length === 0) {
      this.#waiting.delete(id);
    } else {
      this.#waiting.set(id, others);
    }
    waiting.filter((each) => each.startedAtMs === startedAtMs)
      .forEach(({ listener }) => listener(softwareVersion));
  }
}
