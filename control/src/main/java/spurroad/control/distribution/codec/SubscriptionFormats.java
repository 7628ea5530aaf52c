package spurroad.control.distribution.codec;

import java.util.List;
import spurroad.control.distribution.message.Message.Acknowledgement;
import spurroad.control.distribution.message.Message.Heartbeat;
import spurroad.control.distribution.message.Message.RejectionReason;
import spurroad.control.distribution.message.Message.Subscribe;
import spurroad.control.distribution.message.Message.SubscriptionRejected;
import spurroad.control.distribution.message.Message.Unsubscribe;
import spurroad.control.distribution.message.Message.Update;
import spurroad.control.distribution.state.Scope;

/** Wire formats of the messages between a publisher and its subscribers. */
final class SubscriptionFormats {
    /** The formats of all five message kinds. */
    static final List<MessageFormat<?>> ALL = List.of(
        new MessageFormat<>(1, Subscribe.class, SubscriptionFormats::writeSubscribe,
            SubscriptionFormats::readSubscribe),
        new MessageFormat<>(2, SubscriptionRejected.class, SubscriptionFormats::writeRejected,
            SubscriptionFormats::readRejected),
        new MessageFormat<>(3, Update.class, SubscriptionFormats::writeUpdate,
            SubscriptionFormats::readUpdate),
        new MessageFormat<>(4, Acknowledgement.class, SubscriptionFormats::writeAcknowledgement,
            SubscriptionFormats::readAcknowledgement),
        new MessageFormat<>(12, Unsubscribe.class,
            (out, unsubscribe) -> out.writeVarint(unsubscribe.sentAtMillis()),
            in -> new Unsubscribe(in.readVarint())));

    private static final String NO_REGION = "";
    private static final List<RejectionReason> REASONS_BY_CODE = List.of(RejectionReason.NOT_A_RELAY,
        RejectionReason.NOT_READY, RejectionReason.BUSY, RejectionReason.LOG_TOO_SHORT);

    private SubscriptionFormats() {}

    private static void writeSubscribe(MessageWriter out, Subscribe subscribe) {
        String region = subscribe.scope().region();
        out.writeBoolean(region == null);
        out.writeString(region == null ? NO_REGION : region);
        out.writeBoolean(subscribe.hasConfiguration());
        out.writeVarint(subscribe.configurationSequence());
        out.writeVarintOrNone(subscribe.purgeNumber());
        out.writeVarint(subscribe.purgeHistory());
        out.writeBoolean(subscribe.acceptsPurgeReset());
        out.writeVarint(subscribe.sentAtMillis());
    }

    private static Subscribe readSubscribe(MessageReader in) throws MalformedMessageException {
        return new Subscribe(readScope(in), in.readBoolean(), in.readVarint(), in.readVarintOrNone(),
            (int) Math.min(Integer.MAX_VALUE, in.readVarint()), in.readBoolean(), in.readVarint());
    }

    private static Scope readScope(MessageReader in) throws MalformedMessageException {
        boolean isAllRegions = in.readBoolean();
        String region = in.readString();
        if (isAllRegions && !region.equals(NO_REGION)) {
            throw new MalformedMessageException(
                "scope has the flag for all regions, but names region " + region);
        }
        return isAllRegions ? Scope.ALL : new Scope(region);
    }

    private static void writeRejected(MessageWriter out, SubscriptionRejected rejected) {
        out.writeByte(REASONS_BY_CODE.indexOf(rejected.reason()));
        out.writeVarint(rejected.retryAfterMillis());
    }

    private static SubscriptionRejected readRejected(MessageReader in) throws MalformedMessageException {
        return new SubscriptionRejected(readReason(in), in.readVarint());
    }

    private static RejectionReason readReason(MessageReader in) throws MalformedMessageException {
        int code = in.readByte();
        if (code >= REASONS_BY_CODE.size()) {
            throw new MalformedMessageException("unknown rejection reason: expected 0 to 3, got " + code);
        }
        return REASONS_BY_CODE.get(code);
    }

    private static void writeUpdate(MessageWriter out, Update update) {
        out.writeVarint(update.updateNumber());
        writeHeartbeat(out, update.heartbeat());
        ConfigurationFormat.writeUpdate(out, update.configuration());
        PurgeFormat.writeUpdate(out, update.purges());
    }

    private static Update readUpdate(MessageReader in) throws MalformedMessageException {
        return new Update(in.readVarint(), readHeartbeat(in), ConfigurationFormat.readUpdate(in),
            PurgeFormat.readUpdate(in));
    }

    private static void writeHeartbeat(MessageWriter out, Heartbeat heartbeat) {
        out.writeVarint(heartbeat.term());
        out.writeVarint(heartbeat.configurationSequence());
        out.writeVarint(heartbeat.purgeNumber());
        out.writeVarintOrNone(heartbeat.ageMillis());
        out.writeVarint(heartbeat.echoMillis());
        out.writeBoolean(heartbeat.isConnected());
    }

    private static Heartbeat readHeartbeat(MessageReader in) throws MalformedMessageException {
        return new Heartbeat(in.readVarint(), in.readVarint(), in.readVarint(), in.readVarintOrNone(),
            in.readVarint(), in.readBoolean());
    }

    private static void writeAcknowledgement(MessageWriter out, Acknowledgement acknowledgement) {
        out.writeVarint(acknowledgement.updateNumber());
        out.writeVarint(acknowledgement.configurationSequence());
        out.writeVarint(acknowledgement.purgeNumber());
        out.writeBoolean(acknowledgement.hasGap());
        out.writeVarint(acknowledgement.sentAtMillis());
    }

    private static Acknowledgement readAcknowledgement(MessageReader in) throws MalformedMessageException {
        return new Acknowledgement(in.readVarint(), in.readVarint(), in.readVarint(), in.readBoolean(),
            in.readVarint());
    }
}
