#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "cell/ConfigurationDelta.h"

namespace fernlift::cell
{
namespace
{

std::string route (int number, const std::string& service)
{
    return R"({"Name":"route-)" + std::to_string (number) + R"(","Service":")" + service + R"("})";
}

std::string textOf (const std::vector<std::string>& routes)
{
    std::string text = R"({"Routes":[)";
    for (const std::string& item : routes)
        text += (text.back() == '[' ? "" : ",") + item;
    return text + R"(],"Limits":{"MaxHeaderBytes":16384}})";
}

std::vector<std::string> manyRoutes()
{
    std::vector<std::string> routes;
    for (int number = 0; number < 1000; ++number)
        routes.push_back (route (number, "one"));
    return routes;
}

std::size_t newBytes (const std::vector<TextPiece>& pieces)
{
    std::size_t bytes = 0;
    for (const TextPiece& piece : pieces)
        bytes += piece.text.size();
    return bytes;
}

TEST (ConfigurationDeltaTest, DistantChangesCostOnlyTheChangedText)
{
    std::vector<std::string> routes = manyRoutes();
    const std::string base = textOf (routes);
    routes[3] = route (3, "two");
    routes.erase (routes.begin() + 500);
    routes.push_back (route (1000, "three"));
    const std::string text = textOf (routes);
    const auto pieces = piecesBetween (base, text);
    EXPECT_EQ (joinPieces (base, pieces), text);
    EXPECT_LT (newBytes (pieces), 150U) << "of " << text.size();
    EXPECT_LT (pieces.size(), 6U);
}

TEST (ConfigurationDeltaTest, RoutesInAnotherOrderAreKept)
{
    std::vector<std::string> routes = manyRoutes();
    const std::string base = textOf (routes);
    std::swap (routes[10], routes[900]);
    const std::string text = textOf (routes);
    const auto pieces = piecesBetween (base, text);
    EXPECT_EQ (joinPieces (base, pieces), text);
    EXPECT_LT (newBytes (pieces), 100U);
}

TEST (ConfigurationDeltaTest, RejectsPiecesBeyondTheBase)
{
    EXPECT_EQ (joinPieces ("base", { { 2, 2, "x" } }), "sex");
    EXPECT_EQ (joinPieces ("base", { { 2, 3, "x" } }), std::nullopt);
    EXPECT_EQ (joinPieces ("base", { { 5, 0, "x" } }), std::nullopt);
    EXPECT_EQ (joinPieces ("base", { { 1, ~std::uint64_t{ 0 }, "x" } }), std::nullopt);
}

RC_GTEST_PROP (ConfigurationDeltaTest, PiecesProduceTheNewText, ())
{
    const auto segment = rc::gen::element<std::string> (
        "a", "b", "}", "\n", "a segment that is long enough to be kept 1}",
        "a segment that is long enough to be kept 2}", "another one, in lines, of some length\n");
    const auto segments = rc::gen::container<std::vector<std::string>> (segment);
    std::string base;
    for (const std::string& part : *segments)
        base += part;
    std::string text;
    for (const std::string& part : *segments)
        text += part;
    RC_ASSERT (joinPieces (base, piecesBetween (base, text)) == text);
}

}  // namespace
}  // namespace fernlift::cell
