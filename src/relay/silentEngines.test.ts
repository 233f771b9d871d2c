import { deepEqual, equal, ok } from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { looksComplete } from '../../test/support/looksComplete.ts';
import { readRawAnswer, type RawAnswer } from '../../test/support/readRawAnswer.ts';
import { RelayTestBed, type UpstreamHandler } from '../../test/support/RelayTestBed.ts';

const REPORT_PATH = '/-/report';
/** Silence that a sound engine may show; several times the one after which a stream moves on. */
const SOUND_SILENCE_MS = 1_000;
const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'];

let bed: RelayTestBed | null = null;

/** What the first engine does once it has written the first event. */
interface FirstEngine {
  /** Time for which it neither reads nor writes; null for ever. */
  readonly silenceMs: number | null;
  /** Whether it answers probes meanwhile. */
  readonly answersProbes: boolean;
  /** Whether it goes on with the stream afterwards. */
  readonly goesOn: boolean;
}

/** Streams from two engines, of which the first one falls silent; the second one is sound. */
async function runStream({ silenceMs, answersProbes, goesOn }: FirstEngine): Promise<{
  readonly answer: RawAnswer;
  /** Event after which each send began, in order. */
  readonly sends: readonly number[];
}> {
  const sends: number[] = [];
  const unanswered: ServerResponse[] = [];
  let firstSocketCount = 0;
  const silent: UpstreamHandler = (request, response) => {
    if (request.url === REPORT_PATH) {
      if (answersProbes) {
        response.end('{}');
      } else {
        unanswered.push(response);
      }
      return;
    }
    sends.push(Number(request.headers['last-event-id'] ?? 0));
    firstSocketCount += 1;
    response.write(EVENTS[0]);
    if (silenceMs !== null) {
      sleep(silenceMs).then(() => {
        unanswered.forEach((probe) => probe.end('{}'));
        if (goesOn) {
          response.end(EVENTS.slice(1).join(''));
        }
      }).catch(() => {});
    }
  };
  const sound: UpstreamHandler = (request, response) => {
    const lastId = Number(request.headers['last-event-id'] ?? 0);
    sends.push(lastId);
    response.end(EVENTS.slice(lastId).join(''));
  };
  // The stream must begin at the engine that falls silent, whichever is chosen.
  let silentIndex: number | null = null;
  const createHandler = (index: number): UpstreamHandler => (request, response) => {
    if (request.url !== REPORT_PATH) {
      silentIndex ??= index;
    }
    const handler = index === silentIndex ? silent : sound;
    handler(request, response);
  };
  const started = new RelayTestBed();
  bed = started;
  await started.start([createHandler(0), createHandler(1)]);
  const answer = await readRawAnswer(started, '/stream/');
  ok(firstSocketCount > 0);
  return { answer, sends };
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
