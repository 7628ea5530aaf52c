package spurroad.testbed.net;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Pattern;
import spurroad.testbed.model.Reply;
import spurroad.testbed.model.ServerRequest;

/**
 * The tag at the start of each value, by which a client can check whose value it received.
 *
 * @param attemptId the attempt that the value was made for; empty if the value has no tag
 * @param version the version of the value; 0 if the value has no tag
 */
record TaggedValue(String attemptId, int version) {
    private static final int MAX_TAG_BYTES = 64;
    private static final Pattern VERSION = Pattern.compile("[0-9]{1,9}");
    private static final TaggedValue UNTAGGED = new TaggedValue("", 0);

    /** Returns the value of a reply: the tag, filled up to the reply's length. */
    static byte[] encode(ServerRequest request, Reply reply) {
        byte[] tag = (request.id() + " k" + request.key() + " " + reply.version() + " ")
            .getBytes(StandardCharsets.ISO_8859_1);
        byte[] value = new byte[Math.max(tag.length, reply.bytes())];
        Arrays.fill(value, (byte) 'x');
        System.arraycopy(tag, 0, value, 0, tag.length);
        return value;
    }

    /** Returns the tag of a value. */
    static TaggedValue decode(byte[] value) {
        int length = Math.min(value.length, MAX_TAG_BYTES);
        String[] words = new String(value, 0, length, StandardCharsets.ISO_8859_1).split(" ");
        if (words.length < 3) {
            return UNTAGGED;
        }
        int version = VERSION.matcher(words[2]).matches() ? Integer.parseInt(words[2]) : 0;
        return new TaggedValue(words[0], version);
    }
}
