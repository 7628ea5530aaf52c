package spurroad.control.distribution.message;

/** A message between a candidate for a relay lease and a grantor. */
public sealed interface LeaseMessage extends Message permits Message.LeaseRequest, Message.LeaseReply {}
