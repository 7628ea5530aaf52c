package spurroad.model;

/** The cache endpoints that recognise and discard a repeat of a deduplicated request that one of them ran. */
public enum DeduplicationScope {
    /** All endpoints of the deployment. */
    ALL,
    /** The endpoints of the same zone. */
    ZONE,
    /** The endpoints of the same cell. */
    CELL
}
