package spurroad.testbed.soak;

import java.util.List;
import spurroad.testbed.net.ProcessUsage;

/** Checks the resources of a proxy's process against the limits in its configuration. Thread-safe. */
final class ResourceLimits {
    /** A limit that every process exceeds, for the planted fault. */
    private static final int PLANTED_MAX_DESCRIPTORS = 10;

    private final String proxyName;
    private final int maxDescriptors;
    private final int maxMemoryMb;
    private final InvariantChecker checker;

    ResourceLimits(String proxyName, SoakSettings settings, InvariantChecker checker) {
        this.proxyName = proxyName;
        this.checker = checker;
        maxDescriptors = settings.planted() == PlantedFault.LOW_LIMIT ? PLANTED_MAX_DESCRIPTORS
            : settings.limits().descriptors();
        maxMemoryMb = settings.limits().memoryMb();
    }

    /** Reports what exceeds its limit; a process that has ended exceeds none. */
    void check(long pid) {
        int descriptors = ProcessUsage.descriptors(pid);
        if (descriptors > maxDescriptors) {
            checker.addViolation(Invariant.WITHIN_LIMITS,
                proxyName + " holds " + descriptors + " descriptors of " + maxDescriptors);
        }
        double memoryMb = ProcessUsage.memoryMb(pid);
        if (memoryMb > maxMemoryMb) {
            checker.addViolation(Invariant.WITHIN_LIMITS,
                proxyName + " holds " + memoryMb + " MB of " + maxMemoryMb);
        }
    }

    /** Reports if the processes of a proxy that lives beside another one hold too much memory together. */
    void checkTogether(List<Long> others, long pid) {
        double memoryMb = Math.max(0, ProcessUsage.memoryMb(pid));
        for (long other : others) {
            memoryMb += Math.max(0, ProcessUsage.memoryMb(other));
        }
        if (!others.isEmpty() && memoryMb > maxMemoryMb) {
            checker.addViolation(Invariant.WITHIN_LIMITS, proxyName + " holds " + memoryMb + " MB of "
                + maxMemoryMb + " in " + (others.size() + 1) + " processes");
        }
    }
}
