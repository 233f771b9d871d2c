import { Type, type TSchema } from '@sinclair/typebox';
import { Ajv, type ValidateFunction } from 'ajv';
import { configurationRecordSchema } from '../configuration/records/ConfigurationRecord.ts';
import { GOSSIP_TOPIC } from '../gossip/GossipRecord.ts';
import type { PeerMessage } from './PeerMessage.ts';

const MAX_ID_LENGTH = 256;
const MAX_LIST_LENGTH = 4096;

const id = Type.String({ minLength: 1, maxLength: MAX_ID_LENGTH });
const count = Type.Integer({ minimum: 0 });

const memberRecord = Type.Object({
  hostId: id,
  incarnationId: id,
  failureDomainId: id,
  peerAddress: id,
  state: Type.Union(
    ['alive', 'suspect', 'leaving', 'dead'].map((state) => Type.Literal(state)),
  ),
  generation: count,
  configurationVersion: count,
});

const memberRecords = Type.Array(memberRecord, { maxItems: MAX_LIST_LENGTH });

const gossipRecord = Type.Object({
  topic: Type.Union(Object.values(GOSSIP_TOPIC).map((topic) => Type.Literal(topic))),
  key: Type.String({ maxLength: MAX_ID_LENGTH }),
  version: count,
  origin: id,
  value: Type.Union([Type.String(), Type.Null()]),
  remainingMs: Type.Number({ minimum: 0 }),
});

const claimOperation = Type.Object({
  kind: Type.Union(['claim', 'outcome', 'release'].map((kind) => Type.Literal(kind))),
  key: Type.String(),
  token: id,
});

const duration = Type.Number({ minimum: 0 });

const suspectRecord = Type.Object({
  fingerprint: id,
  deaths: Type.Array(Type.Object({ deathId: Type.String(), poolId: id })),
  expiresInMs: duration,
});

const costRecords = Type.Array(Type.Object({
  accountId: id, pipelineId: id, stageId: id, attemptCount: count, costMicros: count,
}), { maxItems: MAX_LIST_LENGTH });

/**
 * A newer program may send more fields than this one knows; they are kept and passed on.
 *
 * @param schema - a schema that refuses unknown fields
 * @returns the same schema without the refusal
 */
function createExtensibleSchema(schema: TSchema): TSchema {
  const text = JSON.stringify(
    schema,
    (name, value: unknown) => (name === 'additionalProperties' ? undefined : value),
  );
  return JSON.parse(text) as TSchema;
}

/** The schema of each message; a new kind of `PeerMessage` needs its entry here. */
const schemas: Readonly<Record<PeerMessage['kind'], TSchema>> = {
  heartbeat: Type.Object({
    sequence: count,
    self: memberRecord,
    members: memberRecords,
    configurationVersion: count,
    versions: Type.Record(Type.String(), count),
    viewDigest: Type.Array(count, { maxItems: MAX_LIST_LENGTH }),
  }),
  heartbeatAnswer: Type.Object({
    sequence: count,
    self: memberRecord,
    members: memberRecords,
    versions: Type.Record(Type.String(), count),
    viewDigest: Type.Array(count, { maxItems: MAX_LIST_LENGTH }),
  }),
  configuration: Type.Object({ configuration: createExtensibleSchema(configurationRecordSchema) }),
  configurationAsk: Type.Object({ knownVersion: count }),
  gossipPush: Type.Object({ records: Type.Array(gossipRecord, { maxItems: MAX_LIST_LENGTH }) }),
  gossipDigest: Type.Object({
    buckets: Type.Array(count, { maxItems: MAX_LIST_LENGTH }), isAnswerWanted: Type.Boolean(),
  }),
  answerAsk: Type.Object({
    requestId: id, accountId: id, replyAddress: id, fromOffset: count,
  }),
  answerReply: Type.Object({
    requestId: id,
    isKnown: Type.Boolean(),
    offset: count,
    text: Type.String(),
    answer: Type.Union([Type.Null(), Type.Object({ kind: id })]),
  }),
  claimAsk: Type.Object({ askId: id, replyAddress: id, operation: claimOperation }),
  ticketAsk: Type.Object({
    askId: id,
    replyAddress: id,
    accountId: id,
    ticket: Type.String(),
    operation: claimOperation,
  }),
  claimReply: Type.Object({
    askId: id, operation: claimOperation, result: Type.Object({ kind: id }),
  }),
  grantAsk: Type.Object({ askId: id, upstreamId: id, durationMs: duration }),
  grantReply: Type.Object({
    askId: id, upstreamId: id, epoch: count, durationMs: duration, retryAfterMs: duration,
  }),
  grantReturn: Type.Object({ askId: id, upstreamId: id }),
  quarantine: Type.Object({
    suspects: Type.Array(suspectRecord, { maxItems: MAX_LIST_LENGTH }),
    clearedFingerprints: Type.Array(id, { maxItems: MAX_LIST_LENGTH }),
    retractedDeathIds: Type.Array(Type.String(), { maxItems: MAX_LIST_LENGTH }),
  }),
  costReport: Type.Object({
    shardIndex: count,
    replyAddress: id,
    incarnationId: id,
    records: costRecords,
    sequence: count,
  }),
  costStored: Type.Object({ shardIndex: count, sequence: count }),
  costHold: Type.Object({ incarnationId: id, sequence: count, records: costRecords }),
};

const ajv = new Ajv();
const validators = new Map<string, ValidateFunction>(
  Object.entries(schemas).map(([kind, schema]) => [kind, ajv.compile(schema)]),
);

/**
 * @param message - what was decoded from a frame
 * @returns whether it is a message that this program knows; unknown fields are allowed
 */
export function isPeerMessage(message: unknown): message is PeerMessage {
  if (typeof message !== 'object' || message === null || !('kind' in message)) {
    return false;
  }
  return validators.get(String(message.kind))?.(message) === true;
}
