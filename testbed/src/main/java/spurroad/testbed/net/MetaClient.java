package spurroad.testbed.net;

import spurroad.testbed.model.Answer;
import spurroad.testbed.model.ClientRequest;
import spurroad.testbed.model.RequestAttempt;

/** Translates attempts and answers to and from the memcache meta protocol, as a client speaks it. */
final class MetaClient {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int WRITE_BYTES = 32;
    private static final String SERVER_ERROR = "SERVER_ERROR";

    private MetaClient() {}

    /** Returns the command of an attempt with its line ends. */
    static String command(RequestAttempt attempt, long nowNanos) {
        ClientRequest request = attempt.request;
        long remainingMillis = Math.max(1, (attempt.until - nowNanos) / NANOS_PER_MILLI);
        String fields = "c=" + request.track.name()
            + ",t=" + request.customer.name()
            + ",d=" + remainingMillis
            + (request.mark.isEmpty() ? "" : ",k=" + request.mark)
            + (attempt.number > 1 ? ",r=1" : "");
        String flags = " O" + attempt.id + " P" + fields + "\r\n";
        return request.track.write()
            ? "ms k" + request.key + " " + WRITE_BYTES + flags + "w".repeat(WRITE_BYTES) + "\r\n"
            : "mg k" + request.key + " v" + flags;
    }

    /** Returns the answer that a message gives to an attempt. */
    static Answer answer(RequestAttempt attempt, MetaDecoder.Message message) {
        return switch (message.words()[0]) {
            case "VA" -> {
                TaggedValue tag = TaggedValue.decode(message.value());
                yield new Answer(Answer.Kind.VALUE, 0, madeForId(attempt, message, tag.attemptId()),
                    tag.version());
            }
            case "HD" ->
                new Answer(Answer.Kind.RECEIPT, 0, madeForId(attempt, message, message.flag('c')), 0);
            case SERVER_ERROR -> serverError(message.words());
            default -> failed();
        };
    }

    /** Returns the server's tag; but the id in the message itself where that is another attempt's. */
    private static String madeForId(RequestAttempt attempt, MetaDecoder.Message message, String tag) {
        String messageId = message.flag('O');
        return messageId.equals(attempt.id) ? tag : "O" + messageId;
    }

    private static Answer serverError(String[] words) {
        if (words.length < 2 || !words[1].equals("busy")) {
            return failed();
        }
        long retryAfterMillis = words.length > 2 ? Long.parseLong(words[2]) : 0;
        return new Answer(Answer.Kind.REJECTED, retryAfterMillis * NANOS_PER_MILLI, "", 0);
    }

    private static Answer failed() {
        return new Answer(Answer.Kind.FAILED, 0, "", 0);
    }
}
