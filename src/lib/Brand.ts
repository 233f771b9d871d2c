declare const brand: unique symbol;

/** A primitive type with a compile-time brand, so that different kinds of ids can't be mixed up. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };
