package spurroad.model;

/** Identifies the class of a request by its index in the deployment. */
public record RequestClassId(int value) {}
