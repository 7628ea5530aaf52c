package spurroad.simulator;

/** Units and sizes that both directions of the simulator's wire format share. */
final class WireUnits {
    static final long NANOS_PER_MICRO = 1_000L;
    static final long MAX_U32 = 0xffffffffL;
    static final int RECORD_HEADER_BYTES = 1 + 4; // code, length of the fields

    private WireUnits() {}
}
