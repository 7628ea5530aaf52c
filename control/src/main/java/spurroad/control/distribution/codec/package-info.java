/**
 * Encoding and decoding of messages ({@link spurroad.control.distribution.codec.MessageCodec}). Each kind of
 * message has a format, in three groups: subscriptions, leases and replication. Parts that several kinds
 * share have formats of their own.
 *
 * <p>The encoding is stable: kinds and the order of fields never change. Numbers have a variable length,
 * hashes have eight bytes, and a message ends with a CRC32C. The reader rejects counts and lengths that
 * exceed the remaining bytes.
 */
package spurroad.control.distribution.codec;
