/* global Buffer */
/** The whole body of the answer to a request, which only this request gets. */
export function createAnswer(requestId, bytes) {
  const line = `${requestId} `;
  return Buffer.from(line.repeat(Math.ceil(bytes / line.length)).slice(0, bytes));
}
