import { Encoder } from 'cbor-x';

/** The CBOR codec of frames: plain maps only, so that any CBOR reader understands them. */
export const frameCodec = new Encoder({
  useRecords: false, mapsAsObjects: true, variableMapSize: true, tagUint8Array: false,
});
