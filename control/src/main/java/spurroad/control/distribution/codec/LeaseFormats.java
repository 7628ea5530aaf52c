package spurroad.control.distribution.codec;

import java.util.List;
import spurroad.control.distribution.message.Message.LeaseReply;
import spurroad.control.distribution.message.Message.LeaseRequest;

/** Wire formats of the messages about relay leases. */
final class LeaseFormats {
    /** The formats of both message kinds. */
    static final List<MessageFormat<?>> ALL = List.of(
        new MessageFormat<>(5, LeaseRequest.class, LeaseFormats::writeRequest, LeaseFormats::readRequest),
        new MessageFormat<>(6, LeaseReply.class, LeaseFormats::writeReply, LeaseFormats::readReply));

    private LeaseFormats() {}

    private static void writeRequest(MessageWriter out, LeaseRequest request) {
        out.writeString(request.group());
        out.writeVarint(request.sentAtMillis());
    }

    private static LeaseRequest readRequest(MessageReader in) throws MalformedMessageException {
        return new LeaseRequest(in.readString(), in.readVarint());
    }

    private static void writeReply(MessageWriter out, LeaseReply reply) {
        out.writeString(reply.group());
        out.writeBoolean(reply.isGranted());
        out.writeVarintOrNone(reply.durationMillis());
        out.writeVarint(reply.echoMillis());
    }

    private static LeaseReply readReply(MessageReader in) throws MalformedMessageException {
        return new LeaseReply(in.readString(), in.readBoolean(), in.readVarintOrNone(), in.readVarint());
    }
}
