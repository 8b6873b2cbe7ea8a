# Plots goodput and waste against load. Variables: csv is the file that policy_bench --csv wrote, out the PNG file to write.
set datafile separator ','
set terminal pngcairo size 1200,800 font 'sans,10'
set output out
set multiplot layout 2,2 title 'Steady load, mean and range of five seeds'
set key bottom left
set xlabel 'offered load, share of decode capacity'
set xrange [0.65:1.25]
routers = 'godwittrestle|round robin|least load|two choices'
router(n) = n == 1 ? 'godwittrestle' : n == 2 ? 'round robin' : n == 3 ? 'least load' : 'two choices'
is_steady(name) = strlen(name) > 6 && name[1:6] eq 'steady'
do for [user in 'malinis cascade'] {
	set title user.': answers within both targets, of those offered'
	set yrange [0:1.05]
	plot for [n=1:4] csv using ((strcol(1) eq user && is_steady(strcol(2)) && strcol(4) eq router(n)) ? $3 : NaN):5:6:7 with yerrorlines title router(n)
}
do for [user in 'malinis cascade'] {
	set title user.': wasted prefill, of all prefilled'
	set yrange [0:0.25]
	plot for [n=1:4] csv using ((strcol(1) eq user && is_steady(strcol(2)) && strcol(4) eq router(n)) ? $3 : NaN):8 with linespoints title router(n)
}
unset multiplot
