package spurroad.control.distribution.codec;

import spurroad.control.distribution.message.Message;

/**
 * The wire format of one kind of message: a byte for the kind, then its fields in the order of the record.
 *
 * @param kind the byte that identifies the kind; never reused for another one
 * @param type the record type of that kind
 * @param writer writes the fields
 * @param reader reads the fields
 */
record MessageFormat<M extends Message>(int kind, Class<M> type, FieldWriter<M> writer,
                                        FieldReader<M> reader) {
    /** Writes the fields of a message. */
    @FunctionalInterface
    interface FieldWriter<M> {
        void write(MessageWriter out, M message);
    }

    /** Reads the fields of a message. */
    @FunctionalInterface
    interface FieldReader<M> {
        M read(MessageReader in) throws MalformedMessageException;
    }

    /** Writes the byte for the kind, and then the fields of a message. */
    void write(MessageWriter out, Message message) {
        out.writeByte(kind);
        writer.write(out, type.cast(message));
    }

    /** Reads the fields, which follow the byte for the kind. */
    M read(MessageReader in) throws MalformedMessageException {
        return reader.read(in);
    }
}
