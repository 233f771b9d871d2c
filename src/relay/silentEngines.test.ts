import { deepEqual, equal } from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { afterEach, describe, it } from 'node:test';
import { looksComplete } from '../../test/support/looksComplete.ts';
import { readRawAnswer, type RawAnswer } from '../../test/support/readRawAnswer.ts';
import {
  RelayTestBed, STARTED_AT_MS, type UpstreamHandler,
} from '../../test/support/RelayTestBed.ts';

const REPORT_PATH = '/-/report';
const REPORT = JSON.stringify({ born: STARTED_AT_MS });
/** Time after its first event in which the engine still answers. */
const SOUND_AFTER_EVENT_MS = 50;
/** Silence that a sound engine may show; several times the one after which a stream moves on. */
const SOUND_SILENCE_MS = 1_000;
const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'];

let bed: RelayTestBed | null = null;

/** Behaviour of an engine after the first event of a stream. */
interface Silence {
  /** Time for which it writes nothing; null for ever. */
  readonly silenceMs: number | null;
  /** Whether it answers probes meanwhile. */
  readonly answersProbes: boolean;
  /** Whether it goes on with the stream afterwards. */
  readonly goesOn: boolean;
}

/** An engine that writes the first event of a stream and falls silent soon after. */
class SilentEngine {
  readonly #silence: Silence;

  readonly #waitingProbes: ServerResponse[] = [];

  #isSilent = false;

  constructor(silence: Silence) {
    this.#silence = silence;
  }

  answerProbe(response: ServerResponse): void {
    if (this.#silence.answersProbes || !this.#isSilent) {
      response.end(REPORT);
    } else {
      this.#waitingProbes.push(response);
    }
  }

  answerStream(response: ServerResponse): void {
    response.write(EVENTS[0]);
    setTimeout(() => {
      this.#isSilent = true;
    }, SOUND_AFTER_EVENT_MS);
    if (this.#silence.silenceMs !== null) {
      setTimeout(() => this.#endSilence(response), this.#silence.silenceMs);
    }
  }

  #endSilence(stream: ServerResponse): void {
    this.#waitingProbes.forEach((probe) => probe.end(REPORT));
    if (this.#silence.goesOn) {
      stream.end(EVENTS.slice(1).join(''));
    }
  }
}

/** Streams from two engines, of which the one that is chosen first falls silent. */
async function runStream(silence: Silence): Promise<{
  readonly answer: RawAnswer;
  /** Event after which each send began, in order. */
  readonly sends: readonly number[];
}> {
  const sends: number[] = [];
  const silentEngine = new SilentEngine(silence);
  let silentIndex: number | null = null;
  const createHandler = (index: number): UpstreamHandler => (request, response) => {
    if (request.url === REPORT_PATH) {
      if (index === silentIndex) {
        silentEngine.answerProbe(response);
      } else {
        response.end(REPORT);
      }
      return;
    }
    const lastId = Number(request.headers['last-event-id'] ?? 0);
    sends.push(lastId);
    silentIndex ??= index;
    if (index === silentIndex) {
      silentEngine.answerStream(response);
    } else {
      response.end(EVENTS.slice(lastId).join(''));
    }
  };
  bed = new RelayTestBed();
  bed.reports = 'handlers';
  await bed.start([createHandler(0), createHandler(1)]);
  return { answer: await readRawAnswer(bed, '/stream/'), sends };
}

describe('RelayHost with an engine that falls silent in the middle of a stream', () => {
  afterEach(async () => {
    await bed?.close();
  });

  it('does not go on at another engine while a sound one is silent for a second', async () => {
    const { answer, sends } = await runStream({
      silenceMs: SOUND_SILENCE_MS, answersProbes: false, goesOn: true,
    });
    equal(looksComplete(answer), true);
    deepEqual(sends, [0], 'the engine before still worked on the stream');
  });

  it('goes on at another engine when the silent one answers probes', async () => {
    const { answer, sends } = await runStream({
      silenceMs: null, answersProbes: true, goesOn: false,
    });
    equal(looksComplete(answer), true);
    deepEqual(sends, [0, 1]);
  });

  it('goes on at another engine once the silent one answers probes again', async () => {
    const { answer, sends } = await runStream({
      silenceMs: SOUND_SILENCE_MS, answersProbes: false, goesOn: false,
    });
    equal(looksComplete(answer), true);
    deepEqual(sends, [0, 1]);
  });

  it('goes on at another engine after a longer silence than that of a sound one', async () => {
    const { answer, sends } = await runStream({
      silenceMs: null, answersProbes: false, goesOn: false,
    });
    equal(looksComplete(answer), true);
    deepEqual(sends, [0, 1]);
  });
});
