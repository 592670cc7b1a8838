#include "deployment.h"

namespace cowslippin {

std::vector<Deployment>
deployments()
{
  Deployment escribania;
  escribania.name = "escribania";
  escribania.zones = 3;
  escribania.betweenZones = Duration(500);
  escribania.fromClient = Duration(3000);
  escribania.crossingPenalty = std::chrono::milliseconds(100);
  Deployment baumwollspur;
  baumwollspur.name = "baumwollspur";
  baumwollspur.zones = 4;
  baumwollspur.betweenZones = Duration(1500);
  baumwollspur.fromClient = Duration(1000);
  baumwollspur.crossingPenalty = std::chrono::milliseconds(300);
  Deployment central = escribania;
  central.name = "central";
  central.zones = 1;
  central.daemons = 1;
  return { escribania, baumwollspur, central };
}

} // namespace cowslippin
