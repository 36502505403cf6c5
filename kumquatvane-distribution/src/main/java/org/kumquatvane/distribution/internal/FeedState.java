package org.kumquatvane.distribution.internal;

/**
 * What a feed knows; guarded by its lock.
 *
 * @param table items of this VM
 * @param retention until when items of an earlier era are kept
 * @param calls times of the calls to the source
 * @param contact contact with the source
 * @param order judges the responses
 * @param publisher passes items to the listener
 * @param inquiries times of inquiries to other VMs and of their answers
 */
public record FeedState(
    ItemTable table,
    RetentionPeriod retention,
    CallSchedule calls,
    SourceContact contact,
    ResponseOrder order,
    ItemPublisher publisher,
    InquiryTimes inquiries) {}
