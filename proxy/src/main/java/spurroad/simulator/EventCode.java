package spurroad.simulator;

/** The kinds of records that the simulator sends, with their codes on the wire. */
enum EventCode {
    LAUNCH(10),
    ENDPOINT_UPDATE(20),
    REQUEST(30),
    ATTEMPT_END(50),
    CLIENT_DISCONNECT(60),
    TIMER(70),
    LOAD_PROBE_END(80),
    PEER_MESSAGE(90),
    POWER_OFF(100);

    private static final EventCode[] BY_CODE = new EventCode[256];

    static {
        for (EventCode value : values()) {
            BY_CODE[value.code] = value;
        }
    }

    private final int code;

    EventCode(int code) {
        this.code = code;
    }

    /** Returns the kind with a code from 0 to 255; null for an unknown code, whose records are ignored. */
    static EventCode of(int code) {
        return BY_CODE[code];
    }
}
