declare const brand: unique symbol;

/** A primitive with a compile-time name, so that one kind of id is not taken for another. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };
