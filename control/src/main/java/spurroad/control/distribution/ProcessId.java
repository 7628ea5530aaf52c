package spurroad.control.distribution;

/** Identifies a process of the fleet: a control machine, a relay or a proxy. */
public record ProcessId(int value) {}
