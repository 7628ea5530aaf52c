package spurroad.model;

/**
 * Identifies the tenant of a request by its index in the deployment; any other number denotes an unknown
 * tenant.
 */
public record TenantId(int value) {}
