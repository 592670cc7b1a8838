#include "libclaims/claims.h"

#include <gtest/gtest.h>

namespace cowslippin {
namespace {

TEST(TicketTest, ReadsWhatItWrote)
{
  const Ticket ticket(Incarnation("vm-3:a"), 18446744073709551615U);
  EXPECT_EQ(parseTicket(ticket.toString()).value(), ticket);
}

TEST(TicketTest, RefusesWhatIsNotATicket)
{
  for (const char* text : { "",
                            "ticket:",
                            "ticket:7",
                            "ticket::7",
                            "ticket:a:",
                            "ticket:a:0",
                            "ticket:a:07",
                            "ticket:a:-7",
                            "ticket:a:7 ",
                            "ticket:a:18446744073709551616",
                            "voucher:a:7" }) {
    EXPECT_FALSE(parseTicket(text)) << text;
  }
}

TEST(TicketBookTest, EachTicketIsUsedOnce)
{
  TicketIssuer issuer(Incarnation("a"));
  TicketBook book(issuer);
  const std::vector<Ticket> tickets = issuer.issue(3);
  EXPECT_EQ(issuer.issue(1).front().number(), 4U);
  for (const Ticket& ticket : tickets) {
    EXPECT_EQ(book.use(ticket), TicketUse(FirstUse{}));
    EXPECT_EQ(book.use(ticket), TicketUse(UsedBefore{}));
  }
}

TEST(TicketBookTest, KnowsItsOwnTicketsOnly)
{
  TicketIssuer issuer(Incarnation("a"));
  TicketBook book(issuer);
  issuer.issue(2);
  EXPECT_EQ(book.use(Ticket(Incarnation("b"), 1)),
            TicketUse(OtherIssuer{ Incarnation("b") }));
  EXPECT_EQ(book.use(Ticket(Incarnation("a"), 3)), TicketUse(NotIssued{}));
  EXPECT_EQ(book.use(Ticket(Incarnation("a"), 0)), TicketUse(NotIssued{}));
}

TEST(TicketBookTest, ATicketOlderThanTheCapacityNeverStarts)
{
  TicketIssuer issuer(Incarnation("a"));
  TicketBook book(issuer, 4);
  const std::vector<Ticket> tickets = issuer.issue(4);
  EXPECT_EQ(book.use(tickets[1]), TicketUse(FirstUse{}));
  issuer.issue(1);
  EXPECT_EQ(book.use(tickets[0]), TicketUse(TooOld{}));
  EXPECT_EQ(book.use(tickets[1]), TicketUse(UsedBefore{}));
  issuer.issue(20);
  EXPECT_EQ(book.use(tickets[3]), TicketUse(TooOld{}));
  EXPECT_EQ(book.use(Ticket(Incarnation("a"), 22)), TicketUse(FirstUse{}));
  EXPECT_EQ(book.use(Ticket(Incarnation("a"), 25)), TicketUse(FirstUse{}));
}

} // namespace
} // namespace cowslippin
