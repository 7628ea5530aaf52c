package spurroad.overload;

/** Flags of a proxy's virtual machine about the stacks of its threads. */
final class StackFlags {
    private StackFlags() {}

    /** Returns the flags on this machine: only on x86-64 does it start with so few shadow pages. */
    static String ofThisMachine() {
        return System.getProperty("os.arch").equals("amd64") ? "-XX:StackShadowPages=10" : "";
    }
}
