package spurroad.simulator;

/** The kinds of records in the adapter's replies, with their codes on the wire. */
enum DecisionCode {
    START_ATTEMPT(10),
    REJECT(20),
    FAIL(30),
    CANCEL_ATTEMPT(40),
    SET_TIMER(50),
    PROBE_LOAD(60),
    CLOSE_IDLE_CONNECTIONS(70),
    SEND_PEER_MESSAGE(80),
    INSTANCE_FAILED(100),
    POLL_DISCOVERY(110);

    private final byte code;

    DecisionCode(int code) {
        this.code = (byte) code;
    }

    byte code() {
        return code;
    }
}
