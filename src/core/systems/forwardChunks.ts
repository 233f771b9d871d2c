import { takeAll } from '../CoreInbox.ts';
import type { AttemptChunkInput } from '../CoreInput.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import type { RequestRecord } from '../tables/RequestRecord.ts';

function getNewText(request: RequestRecord, chunk: AttemptChunkInput): string {
  const overlap = request.streamedText.length - chunk.offset;
  // Text after a gap is not streamed: the final answer contains the whole output.
  return overlap < 0 ? '' : chunk.text.slice(overlap);
}

/**
 * Forwards the streamed output of the last stage, each character once and in order, also when a
 * retry streams from the start again.
 *
 * @param world - the core's state
 */
export function forwardChunks(world: CoreWorld): void {
  takeAll(world.inbox.chunks).forEach((chunk) => {
    const attempt = world.attempts.get(chunk.attemptId);
    const request = attempt === undefined ? undefined : world.requests.get(attempt.requestId);
    if (request === undefined || request.attemptId !== chunk.attemptId) {
      return;
    }
    if (request.stageIndex + 1 < request.stages.length) {
      return;
    }
    const text = getNewText(request, chunk);
    if (text === '') {
      return;
    }
    const offset = request.streamedText.length;
    request.streamedText += text;
    world.context.emit({
      kind: 'answerChunk', requestId: request.requestId, offset, text,
    });
  });
}
