package spurroad.program;

/** What a request waits for when its client disconnects. */
enum WaitPoint {
    CONNECTION(Requests.READ), DESCRIPTOR(Requests.READ), LOAD_BALANCER(Requests.WRITE),
    REJECTING_INPUT("nonsense\r\n" + Requests.READ), MEMORY(Requests.LONG),
    /** The response to a request that is fifteen commands ahead on the same connection. */
    RESPONSE_AHEAD(Requests.READ.replace("Ow", "Of") + "mn\r\n".repeat(15) + Requests.READ),
    UPLOAD(Requests.LONG.substring(0, 65_000)), ORIGIN_FETCH(Requests.READ.replace("Ow", "Of")),
    LAST_BYTE(Requests.BULK), NOTHING(Requests.READ), PIPELINED(RESPONSE_AHEAD.commands + Requests.FLOOD),
    PIPELINED_UPLOAD(RESPONSE_AHEAD.commands + Requests.LONG + Requests.FLOOD),
    PIPELINED_DESCRIPTOR(Requests.READ + "mn\r\n".repeat(15) + Requests.FLOOD);

    private final String commands; // # stands for the client's number

    WaitPoint(String commands) {
        this.commands = commands;
    }

    /**
     * Returns the bytes that a client sends.
     *
     * @param number replaces each # in the commands
     */
    String commands(String number) {
        return commands.replace("#", number);
    }

    /** Requests in which # stands for the client's number. */
    static final class Requests {
        /** Bytes of the commands after the sixteenth: more than one read takes. */
        static final int PIPELINED_BYTES = 300_000;
        static final String READ = "mg k# v Ow# Pc=read,t=acme,d=9000\r\n";
        static final String WRITE = "ms k# 1 Ow# Pc=put,t=acme,d=9000,k=w#\r\na\r\n";
        static final String LONG = write(70_000);
        /** A write that exceeds the socket buffers. */
        static final String BULK = write(4_000_000);
        private static final String FLOOD = "mn\r\n".repeat(PIPELINED_BYTES / 4);

        private Requests() {}

        private static String write(int bytes) {
            return WRITE.replace(" 1 O", " " + bytes + " O").replace("\na\r",
                "\n" + "x".repeat(bytes) + "\r");
        }
    }
}
