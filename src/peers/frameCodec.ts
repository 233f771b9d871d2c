import { Encoder } from 'cbor-x';

/** CBOR codec of frames; uses plain maps only, so that any CBOR decoder can read them. */
export const frameCodec = new Encoder({
  useRecords: false, mapsAsObjects: true, variableMapSize: true, tagUint8Array: false,
});
