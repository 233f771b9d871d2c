/** Something that crashes of upstreams may be blamed on. */
export type Suspect =
  /** A whole request, by the digest of its content. */
  | { readonly kind: 'request'; readonly fingerprint: string }
  /** A part of prompts, which requests that differ otherwise may share. */
  | { readonly kind: 'promptPart'; readonly partId: string };
