"""Start ggw-entry from a checkout; Python finds the package in the folder of this script."""

from greengagewood.platform.program import main

main()
